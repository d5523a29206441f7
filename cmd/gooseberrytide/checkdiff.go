package main

import (
	"cmp"
	"fmt"
	"slices"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// diffConfigs describes the changes between two configurations. The lines contain no API keys.
func diffConfigs(old, updated *routing.Config) []string {
	lines := diffFields("configuration", fieldsOf(old.Version, old.Limits), fieldsOf(updated.Version, updated.Limits))
	lines = append(lines, diffItems("route", old.Routes, updated.Routes, routeName, routeFields)...)
	lines = append(lines, diffItems("service", old.Services, updated.Services, serviceName, serviceFields)...)
	lines = append(lines, diffItems("team", old.Teams, updated.Teams, teamName, teamFields)...)
	return append(lines, diffKeys(old.Teams, updated.Teams)...)
}

// field is a property of an item in operators' terms.
type field struct {
	name, value string
}

func newField(name string, value any) field { return field{name: name, value: fmt.Sprint(value)} }

func fieldsOf(version int64, l routing.Limits) []field {
	return []field{
		newField("version", version),
		newField("longest body in bytes", l.MaxBodyBytes),
		newField("longest header in bytes", l.MaxHeaderBytes),
		newField("time for a header", l.HeaderTimeout),
		newField("idle time", l.IdleTimeout),
		newField("tokens per second", l.TokensPerSecond),
	}
}

func routeName(r routing.Route) string { return cmp.Or(r.Name, r.Host+r.PathPrefix) }

func routeFields(r routing.Route) []field {
	return []field{
		newField("requests", r.Host+r.PathPrefix),
		newField("services", formatTargets(r.Targets)),
		newField("kind", r.Kind),
		newField("resumable", r.Resumable),
		newField("timeout", r.Timeout),
		newField("objective", r.Objective),
		newField("longest pause", r.MaxPause),
		newField("priority", r.Priority),
		newField("attempts", r.MaxAttempts),
		newField("without API key", r.Anonymous),
	}
}

func formatTargets(targets []routing.Target) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	var shares []string
	for _, t := range targets {
		shares = append(shares, fmt.Sprintf("%s:%d", t.Service, t.Weight))
	}
	return fmt.Sprint(shares)
}

func serviceName(s routing.Service) string { return s.Name }

func serviceFields(s routing.Service) []field {
	engine := routing.Engine{}
	if s.Engine != nil {
		engine = *s.Engine
	}
	return []field{
		newField("model engines", s.Engine != nil),
		newField("slots", engine.Slots),
		newField("memory in tokens", engine.CacheTokens),
		newField("requests per second of a cold server", s.ColdPerSecond),
		newField("time that a server is cold", s.ColdDuration),
	}
}

func teamName(t routing.Team) string { return t.Name }

func teamFields(t routing.Team) []field {
	priority := "of the route"
	if t.Priority != nil {
		priority = fmt.Sprint(*t.Priority)
	}
	return []field{newField("priority", priority)}
}

// diffItems describes the items that were added, removed or changed.
func diffItems[T any](kind string, old, updated []T, name func(T) string, fields func(T) []field) []string {
	var lines []string
	find := func(list []T, wanted string) int {
		return slices.IndexFunc(list, func(item T) bool { return name(item) == wanted })
	}
	for _, item := range old {
		if find(updated, name(item)) < 0 {
			lines = append(lines, fmt.Sprintf("%s %q: removed", kind, name(item)))
		}
	}
	for _, item := range updated {
		i := find(old, name(item))
		if i < 0 {
			lines = append(lines, fmt.Sprintf("%s %q: added", kind, name(item)))
			continue
		}
		lines = append(lines, diffFields(fmt.Sprintf("%s %q", kind, name(item)), fields(old[i]), fields(item))...)
	}
	return lines
}

// diffFields describes the fields that differ between two lists of the same fields.
func diffFields(item string, old, updated []field) []string {
	var lines []string
	for i, f := range updated {
		if old[i] != f {
			lines = append(lines, fmt.Sprintf("%s: %s %s, was %s", item, f.name, f.value, old[i].value))
		}
	}
	return lines
}

// diffKeys describes how many API keys each team gains and loses.
func diffKeys(old, updated []routing.Team) []string {
	var lines []string
	before, after := keysByTeam(old), keysByTeam(updated)
	for _, team := range append(slices.Clone(old), updated...) {
		gained, lost := countMissing(after[team.Name], before[team.Name]), countMissing(before[team.Name], after[team.Name])
		line := fmt.Sprintf("team %q: API keys: %d added, %d removed", team.Name, gained, lost)
		if gained+lost > 0 && !slices.Contains(lines, line) {
			lines = append(lines, line)
		}
	}
	return lines
}

func keysByTeam(teams []routing.Team) map[string][]string {
	keys := make(map[string][]string)
	for _, t := range teams {
		keys[t.Name] = append(keys[t.Name], t.Keys...)
	}
	return keys
}

// countMissing returns how many keys are not among others.
func countMissing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}
