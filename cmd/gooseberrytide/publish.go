package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// maxRebases bounds how often a change is moved onto a newer configuration.
const maxRebases = 10

// rebasePause lets racing operators finish.
const rebasePause = 100 * time.Millisecond

// change is what an operator wants to publish.
type change struct {
	// base is the configuration that the change was made on; nil means the current one.
	base *object.Set
	// edit returns the changed configuration.
	edit func(base *object.Set) (*object.Set, error)
	// rebase moves the change onto a newer configuration when both changed different objects.
	rebase bool
}

// published reports a published change.
type published struct {
	admin.ApplyResponse
	// same says that the configuration was like this already.
	same bool
}

// publishChange publishes a change.
func publishChange(ctx context.Context, client *adminhttp.Client, ch change) (published, error) {
	current, err := fetch(ctx, client)
	if err != nil {
		return published{}, err
	}
	base := ch.base
	if base == nil {
		base = current.set
	}
	mine, err := ch.edit(base)
	if err != nil {
		return published{}, err
	}
	for range maxRebases {
		target, err := moved(base, mine, current, ch.rebase)
		if err != nil {
			return published{}, err
		}
		result, again, err := attempt(ctx, client, current, target, ch.rebase)
		if !again {
			return result, err
		}
		if !periodic.Sleep(ctx, rebasePause) {
			return published{}, ctx.Err()
		}
		if current, err = fetch(ctx, client); err != nil {
			return published{}, err
		}
	}
	return published{}, fail(exitConflict, "gave up after %d other publishes", maxRebases)
}

// moved returns the change on top of the current configuration.
func moved(base, mine *object.Set, current version, rebase bool) (*object.Set, error) {
	merged, conflicts := object.Merge(base, mine, current.set)
	if len(conflicts) > 0 {
		return nil, conflictError(object.FormatIDs(conflicts), current)
	}
	if !rebase && len(object.Diff(base, current.set)) > 0 {
		return nil, fail(exitConflict,
			"generation %d changed other objects since the base; --rebase keeps both changes", current.generation)
	}
	if findings := object.Check(merged); len(findings) > 0 {
		return nil, findingsError(findings)
	}
	return merged, nil
}

func conflictError(names []string, current version) error {
	return fail(exitConflict, "generation %d changed the same objects: %s",
		current.generation, strings.Join(names, ", "))
}

// attempt publishes once, and says whether the caller is to fetch the configuration and try again.
func attempt(ctx context.Context, client *adminhttp.Client, current version, target *object.Set, rebase bool) (published, bool, error) {
	if !current.old && len(object.Diff(current.set, target)) == 0 {
		response := admin.ApplyResponse{Generation: current.generation}
		return published{ApplyResponse: response, same: true}, false, nil
	}
	body, err := request(current.generation, target)
	if err != nil {
		return published{}, false, err
	}
	response, err := client.Apply(ctx, body)
	if err == nil {
		return published{ApplyResponse: response}, false, nil
	}
	var status *adminhttp.StatusError
	var lost *adminhttp.NoResponseError
	switch {
	case errors.As(err, &lost):
		return published{}, false, uncertain(err)
	case !errors.As(err, &status):
		return published{}, false, err
	case status.Status == http.StatusConflict && rebase:
		return published{}, true, nil
	}
	return published{}, false, refused(status)
}

func uncertain(err error) error {
	return fail(exitUncertain, "the change may have been published; repeat the command to be sure: %v", err)
}

// refused explains an answer other than success.
func refused(status *adminhttp.StatusError) error {
	body := status.Body
	switch {
	case status.Status == http.StatusConflict && len(body.Conflicts) > 0 && !body.Approximate:
		return fail(exitConflict, "generation %d changed the same objects: %s",
			body.Generation, strings.Join(body.Conflicts, ", "))
	case status.Status == http.StatusConflict:
		return fail(exitConflict, "%s; --rebase keeps both changes", body.Error)
	case len(body.Findings) > 0:
		return findingsError(body.Findings)
	case body.Uncertain:
		return uncertain(status)
	}
	return status
}
