package publish

import (
	"errors"
	"fmt"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

var (
	// ErrNoQuorum reports that the router is not in contact with a majority of the listed VMs. Nothing was published.
	ErrNoQuorum = errors.New("publish: no contact with a majority of the listed VMs")
	// ErrUnconfirmed reports that the set was published, but that no majority of the listed VMs is known to have it in
	// force.
	ErrUnconfirmed = errors.New("publish: published, not confirmed by a majority of the listed VMs")
	// ErrContended reports that every attempt failed because of other writers or stale reads. Nothing was published.
	ErrContended = errors.New("publish: store too contended")
	// ErrCorrupt reports content in the store that does not match its hash or cannot be decoded.
	ErrCorrupt = errors.New("publish: corrupt content in the store")
	// ErrStoreRestored reports that the store was restored from an older copy during a publish or a garbage collection.
	ErrStoreRestored = errors.New("publish: the store was restored from an older copy meanwhile")
)

// ConflictError reports that the configuration in force is not the base generation. Nothing was published.
type ConflictError struct {
	// Generation is the generation in force.
	Generation ident.Generation
	// Objects are the objects that both sides changed since the base; it is empty when the changes are disjoint.
	Objects []object.ID
	// Approximate reports that the base is too old or could not be read. Objects are then all objects that differ
	// between the two sides, or none when the generation in force could not be read either.
	Approximate bool
	// Lost reports that the store was restored from an older copy that lacks the generation, which the routers have.
	Lost bool
}

// Error describes the conflict and names the objects.
func (e *ConflictError) Error() string {
	names := object.FormatIDs(e.Objects)
	text := fmt.Sprintf("publish: generation %d was published in the meantime", e.Generation)
	if e.Lost {
		text = fmt.Sprintf("publish: the store was restored from an older copy, generation %d is in force", e.Generation)
	}
	switch {
	case len(names) > 0 && e.Approximate:
		return text + "; objects that differ: " + strings.Join(names, ", ")
	case len(names) > 0:
		return text + "; both sides changed " + strings.Join(names, ", ")
	case e.Approximate:
		return text
	}
	return text + "; the changes are disjoint"
}

// UncertainError reports that the response to the head's write was lost and that it could not be found out whether the
// write took effect. The publish may be in force now, later, or never. It unwraps to kv.ErrUncertain, or to
// ErrStoreRestored.
type UncertainError struct {
	// Generation is the generation that the publish gets if it takes effect.
	Generation ident.Generation
	PublishID  string
	Cause      error
}

// Error names the generation.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("publish: generation %d may or may not be in force: %v", e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// LostError reports that the store was restored from an older copy, which lacks a generation that routers have.
type LostError struct {
	// Generation is the highest known generation, Stored the one in the store.
	Generation, Stored ident.Generation
}

// Error names the generations.
func (e *LostError) Error() string {
	return fmt.Sprintf("publish: the store was restored from an older copy and has generation %d, not %d",
		e.Stored, e.Generation)
}
