package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// sameEvent is the time in milliseconds within which equal lines of several routers are one event: a change of the
// configuration reaches all routers within a second or so.
const sameEvent = 2000

// logEvent is a change that one or more routers have logged.
type logEvent struct {
	at       float64
	what     string
	routers  map[string]bool
	lastSeen float64
}

// printLogEvents prints what the logs of routers tell of changes: all but the lines of requests, equal lines of several
// routers as one.
func printLogEvents(out io.Writer, files []string) error {
	lines, err := readLogs(files, "", func(l *logLine) bool { return l.Message != "" && l.Request == "" })
	if err != nil {
		return errors.Wrap(err, "timeline")
	}
	for _, e := range eventsOf(lines) {
		at := time.UnixMilli(int64(e.at)).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(out, "%s  %-24s %s\n", at, routersText(e.routers), e.what); err != nil {
			return errors.Wrap(err, "timeline")
		}
	}
	return nil
}

// eventsOf joins equal lines.
func eventsOf(lines []logLine) []*logEvent {
	var events []*logEvent
	latest := make(map[string]*logEvent)
	for _, l := range lines {
		what := describe(l)
		e := latest[what]
		if e == nil || l.At-e.lastSeen > sameEvent {
			e = &logEvent{at: l.At, what: what, routers: make(map[string]bool)}
			latest[what] = e
			events = append(events, e)
		}
		e.lastSeen = l.At
		e.routers[l.source] = true
	}
	return events
}

// describe returns a line without its time, level and prefix: its message and its other fields in order of name.
func describe(l logLine) string {
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(l.text))
	decoder.UseNumber() // large numbers are printed as they stand
	if err := decoder.Decode(&fields); err != nil {
		return l.Message // the line was read before
	}
	for _, name := range []string{"ts", "level", "logger", "msg"} {
		delete(fields, name)
	}
	var text strings.Builder
	if l.Logger != "" {
		text.WriteString(l.Logger + ": ")
	}
	text.WriteString(l.Message)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&text, "  %s=%v", name, fields[name])
	}
	return text.String()
}

// maxNamed is the number of routers that a line names.
const maxNamed = 2

func routersText(routers map[string]bool) string {
	names := slices.Sorted(maps.Keys(routers))
	if len(names) > maxNamed {
		return fmt.Sprintf("%d routers", len(names))
	}
	return strings.Join(names, ",")
}
