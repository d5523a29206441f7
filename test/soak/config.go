package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// Names of the services. The single service has one engine.
const (
	poolService   = "pool"
	appService    = "app"
	deskService   = "desk"
	singleService = "single"
)

const (
	// shortTimeout is the time limit of the routes while it is reduced.
	shortTimeout = 3 * time.Second
	// tokensPerSecond is the rate of all model engines together, reducedTokensPerSecond far below what clients ask for,
	// and raisedTokensPerSecond far above it.
	tokensPerSecond        = 300_000
	reducedTokensPerSecond = 2_000
	raisedTokensPerSecond  = 3_000_000
	// idleTimeout is the time limit of connections without a request, shortIdleTimeout a reduced one.
	idleTimeout, shortIdleTimeout = 15 * time.Second, 5 * time.Second
	// seriesPause is the time between two changes of a series.
	seriesPause = 150 * time.Millisecond
)

// settings are the parts of the configuration that faults change.
type settings struct {
	timeout, idleTimeout time.Duration
	tokensPerSecond      float64
	// moved is set while routes lead to other services than at first.
	moved bool
	// singleWeight is the share, in percent, of the resumable route that goes to the single engine.
	singleWeight int
	// addedTeams is the number of teams beside the first one.
	addedTeams int
	// coldPerSecond is the number of requests a second that a cold engine tolerates. 0 means that none is cold.
	coldPerSecond float64
}

var defaultSettings = settings{timeout: routeTimeout, idleTimeout: idleTimeout, tokensPerSecond: tokensPerSecond}

// timeoutChange is a write of a configuration and the time limit of its routes.
type timeoutChange struct {
	at      time.Time
	timeout time.Duration
}

// addKey adds an API key to the next configuration that is written, and returns it.
func (d *deployment) addKey() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := fmt.Sprintf("key-%d", len(d.keys))
	d.keys[key] = time.Time{}
	return key
}

// writeConfig writes a new version of the configuration to the store.
func (d *deployment) writeConfig() { d.changeConfig(func(*settings) {}) }

// changeConfig changes the settings and writes a new version of the configuration to the store.
func (d *deployment) changeConfig(change func(*settings)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.settings)
	d.version++
	d.timeouts = append(d.timeouts, timeoutChange{time.Now(), d.settings.timeout})
	d.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],
"limits":{"maxBodyBytes":100000,"idleTimeoutMs":%d,"tokensPerS":%g},"tenants":[%s]}`,
		d.version, strings.Join(d.routes(), ","), services(d.settings.coldPerSecond), d.settings.idleTimeout.Milliseconds(),
		d.settings.tokensPerSecond, strings.Join(d.teams(), ",")))
}

// routes returns the encoded routes. The deployment must be locked.
func (d *deployment) routes() []string {
	s := d.settings
	streams, summaries, lookups := poolService, singleService, appService
	if s.moved {
		streams, summaries, lookups = singleService, poolService, deskService
	}
	encode := func(prefix, kind, target string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeKind":%q,%s,"maxAttempts":%d,"resumable":%t,
"timeoutMs":%d,"objectiveMs":800,"gapTargetMs":500}`,
			prefix, clientHost, prefix, kind, target, attempts, resumable, s.timeout.Milliseconds())
	}
	to := func(service string) string { return fmt.Sprintf(`"service":%q`, service) }
	split := to(poolService)
	if s.singleWeight > 0 {
		split = fmt.Sprintf(`"split":[{"service":%q,"weight":%d},{"service":%q,"weight":%d}]`,
			poolService, 100-s.singleWeight, singleService, s.singleWeight)
	}
	return []string{
		encode(resumableRoute, "streaming", split, 2, true),
		encode(summaryRoute, "streaming", to(summaries), 2, true),
		encode(streamRoute, "streaming", to(streams), 1, false),
		encode(unsafeRoute, "unsafe", to(lookups), 1, false),
		encode(safeRoute, "safe", to(lookups), 2, false),
		encode(versionRoute(d.version), "safe", to(appService), 1, false),
	}
}

// services returns the encoded services.
func services(coldPerSecond float64) string {
	const engine = `"engine":{"slots":16,"kvCapacity":400000,"stride":4}`
	cold := fmt.Sprintf(`"coldPerS":%g,"coldStartS":%g`, coldPerSecond, coldTime.Seconds())
	return fmt.Sprintf(`{"name":%q,"maxConns":400,%s,%s},{"name":%q,"maxConns":400,%s},{"name":%q,"maxConns":400,%s},
{"name":%q,"maxConns":400}`, poolService, engine, cold, singleService, engine, appService, cold, deskService)
}

// teams returns the encoded teams. The deployment must be locked.
func (d *deployment) teams() []string {
	var keys []string
	for key, removed := range d.keys {
		if removed.IsZero() {
			keys = append(keys, fmt.Sprintf("%q", key))
		}
	}
	list := []string{fmt.Sprintf(`{"name":"farm","apiKeys":[%s]}`, strings.Join(keys, ","))}
	for i := range d.settings.addedTeams {
		list = append(list, fmt.Sprintf(`{"name":"added-%d","apiKeys":["added-key-%d"]}`, i, i))
	}
	return list
}

// versionRoute returns the path of the route that exists only in one version of the configuration.
func versionRoute(version int) string { return fmt.Sprintf("/version-%d/", version) }

// shortestTimeout returns the shortest time limit of the routes that a router may have in force between two times.
func (d *deployment) shortestTimeout(from, to time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	shortest := routeTimeout // the deadline of the clients
	for i, c := range d.timeouts {
		replaced := i+1 < len(d.timeouts) && d.timeouts[i+1].at.Add(maxConfigAge).Before(from)
		if !replaced && c.at.Before(to) {
			shortest = min(shortest, c.timeout)
		}
	}
	return shortest
}

// configFault returns a fault that changes the settings and undoes the change when it ends.
func configFault(change, undo func(*settings)) func(context.Context, *deployment, int, time.Duration) {
	return func(ctx context.Context, d *deployment, _ int, duration time.Duration) {
		d.changeConfig(change)
		periodic.Sleep(ctx, duration)
		d.changeConfig(undo)
	}
}

var (
	changeTimeout = configFault(
		func(s *settings) { s.timeout = shortTimeout }, func(s *settings) { s.timeout = routeTimeout })
	moveRoutes    = configFault(func(s *settings) { s.moved = true }, func(s *settings) { s.moved = false })
	changeWeights = configFault(func(s *settings) { s.singleWeight = 50 }, func(s *settings) { s.singleWeight = 0 })
	addTeam       = configFault(func(s *settings) { s.addedTeams++ }, func(*settings) {})
	reduceRate    = configFault(func(s *settings) { s.tokensPerSecond = reducedTokensPerSecond },
		func(s *settings) { s.tokensPerSecond = tokensPerSecond })
	raiseRate = configFault(func(s *settings) { s.tokensPerSecond = raisedTokensPerSecond },
		func(s *settings) { s.tokensPerSecond = tokensPerSecond })
	changeIdleTimeout = configFault(
		func(s *settings) { s.idleTimeout = shortIdleTimeout }, func(s *settings) { s.idleTimeout = idleTimeout })
)

// changeInSeries runs each kind of change in quick succession, beginning with the one that pick selects.
func changeInSeries(ctx context.Context, d *deployment, pick int, _ time.Duration) {
	kinds := []func(context.Context, *deployment, int, time.Duration){
		changeTimeout, moveRoutes, changeWeights, addTeam, reduceRate, raiseRate, changeIdleTimeout, removeKey,
	}
	for i := range kinds {
		kinds[(pick+i)%len(kinds)](ctx, d, pick, seriesPause)
		periodic.Sleep(ctx, seriesPause)
	}
}

// removeKey removes an API key that is valid and adds a new one.
func removeKey(_ context.Context, d *deployment, _ int, _ time.Duration) {
	d.mu.Lock()
	for key, removed := range d.keys {
		if removed.IsZero() && len(d.keys) > 1 {
			d.keys[key] = time.Now()
			break
		}
	}
	d.mu.Unlock()
	d.addKey()
	d.writeConfig()
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, removed := range d.keys {
		if !removed.IsZero() && time.Since(removed) < time.Second {
			d.keys[key] = time.Now() // revokeTime counts from the store's answer
		}
	}
}
