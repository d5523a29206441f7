package publish

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// confirmTimeout bounds the wait for a majority. A new generation reaches a healthy fleet of 400 routers in about 2 s.
const confirmTimeout = 6 * time.Second

// Apply publishes a set and waits until a majority of the listed VMs have it in force. Errors are those of
// Publisher.Publish. When the set was published but the wait ended first, Apply returns the generation and
// ErrUnconfirmed.
func Apply(
	ctx context.Context, p *Publisher, s *Syncer, base ident.Generation, set *object.Set,
) (ident.Generation, error) {
	gen, err := p.Publish(ctx, base, set)
	if err != nil {
		return 0, err
	}
	s.InstallPublished(gen, set)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return gen, s.AwaitMajority(ctx, gen)
}
