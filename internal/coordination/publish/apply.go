package publish

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// confirmWait bounds the wait for a majority. News reaches a healthy fleet of 400 in about 2 s.
const confirmWait = 6 * time.Second

// Apply publishes a set and waits until a majority of the listed VMs have it in force. Errors are those of
// Publisher.Publish, and ErrUnconfirmed together with the generation when the set was published and the wait ended
// first.
func Apply(ctx context.Context, p *Publisher, s *Syncer, base ident.Generation, set *object.Set) (ident.Generation, error) {
	gen, err := p.Publish(ctx, base, set)
	if err != nil {
		return 0, err
	}
	s.Published(gen, set)
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	return gen, s.AwaitMajority(ctx, gen)
}
