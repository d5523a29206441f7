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

// maxRebases bounds how often a change is rebased onto a newer configuration.
const maxRebases = 10

// rebasePause is the pause before a rebase, in which concurrent publishes can finish.
const rebasePause = 100 * time.Millisecond

// change is an operator's change to the configuration.
type change struct {
	// base is the configuration that the change is based on; nil means the current one.
	base *object.Set
	// edit applies the change to a configuration and returns the result.
	edit func(base *object.Set) (*object.Set, error)
	// rebase allows merging the change with a newer configuration in which only other objects have changed.
	rebase bool
}

// publishResult is the result of a successful publish.
type publishResult struct {
	admin.ApplyResponse
	// unchanged says that nothing was published because the configuration already equals the target.
	unchanged bool
}

// publishChange publishes a change. If other operators publish at the same time, it rebases the change if allowed, and
// otherwise returns an error.
func publishChange(ctx context.Context, client *adminhttp.Client, ch change) (publishResult, error) {
	current, err := fetchConfig(ctx, client)
	if err != nil {
		return publishResult{}, err
	}
	base := ch.base
	if base == nil {
		base = current.set
	}
	changed, err := ch.edit(base)
	if err != nil {
		return publishResult{}, err
	}
	for range maxRebases {
		target, err := mergeChange(base, changed, current, ch.rebase)
		if err != nil {
			return publishResult{}, err
		}
		result, retry, err := tryPublish(ctx, client, current, target, ch.rebase)
		if !retry {
			return result, err
		}
		if !periodic.Sleep(ctx, rebasePause) {
			return publishResult{}, ctx.Err()
		}
		if current, err = fetchConfig(ctx, client); err != nil {
			return publishResult{}, err
		}
	}
	return publishResult{}, newExitError(exitConflict, "gave up after %d concurrent publishes", maxRebases)
}

// mergeChange merges the changes from base to changed into the current configuration and checks the result. It returns
// an error on a conflict, or without rebase if the current configuration differs from base.
func mergeChange(base, changed *object.Set, current fetchedConfig, rebase bool) (*object.Set, error) {
	merged, conflicts := object.Merge(base, changed, current.set)
	if len(conflicts) > 0 {
		return nil, conflictError(object.FormatIDs(conflicts), current)
	}
	if !rebase && len(object.Diff(base, current.set)) > 0 {
		return nil, newExitError(exitConflict,
			"generation %d changed other objects since the base; --rebase keeps both changes", current.generation)
	}
	if findings := object.Check(merged); len(findings) > 0 {
		return nil, findingsError(findings)
	}
	return merged, nil
}

func conflictError(names []string, current fetchedConfig) error {
	return newExitError(exitConflict, "generation %d changed the same objects: %s",
		current.generation, strings.Join(names, ", "))
}

// tryPublish publishes once. It returns true if the caller must fetch the configuration and try again.
func tryPublish(
	ctx context.Context, client *adminhttp.Client, current fetchedConfig, target *object.Set, rebase bool,
) (publishResult, bool, error) {
	if !current.fromSnapshot && len(object.Diff(current.set, target)) == 0 {
		response := admin.ApplyResponse{Generation: current.generation}
		return publishResult{ApplyResponse: response, unchanged: true}, false, nil
	}
	body, err := newApplyRequest(current.generation, target)
	if err != nil {
		return publishResult{}, false, err
	}
	response, err := client.Apply(ctx, body)
	if err == nil {
		return publishResult{ApplyResponse: response}, false, nil
	}
	var status *adminhttp.StatusError
	var lost *adminhttp.NoResponseError
	switch {
	case errors.As(err, &lost):
		return publishResult{}, false, uncertainError(err)
	case !errors.As(err, &status):
		return publishResult{}, false, err
	case status.Status == http.StatusConflict && rebase:
		return publishResult{}, true, nil
	}
	return publishResult{}, false, refusalError(status)
}

func uncertainError(err error) error {
	return newExitError(exitUncertain, "the change may have been published; repeat the command to make sure: %v", err)
}

// refusalError returns the error for an unsuccessful response to a publish.
func refusalError(status *adminhttp.StatusError) error {
	body := status.Body
	switch {
	case status.Status == http.StatusConflict && len(body.Conflicts) > 0 && !body.Approximate:
		return newExitError(exitConflict, "generation %d changed the same objects: %s",
			body.Generation, strings.Join(body.Conflicts, ", "))
	case status.Status == http.StatusConflict:
		return newExitError(exitConflict, "%s; --rebase keeps both changes", body.Error)
	case len(body.Findings) > 0:
		return findingsError(body.Findings)
	case body.Uncertain:
		return uncertainError(status)
	}
	return status
}
