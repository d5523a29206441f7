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

// eventWindowMS is the time in milliseconds within which equal lines of several routers count as one event. A change of
// the configuration reaches all routers within about a second.
const eventWindowMS = 2000

// logEvent is an event that one or more routers have logged. Times are in milliseconds of Unix time.
type logEvent struct {
	at       float64
	text     string
	routers  map[string]bool
	lastSeen float64
}

// printLogEvents prints the events in the logs of routers, which are all lines that do not belong to a request. Equal
// lines of several routers are printed as one event.
func printLogEvents(out io.Writer, files []string) error {
	lines, err := readLogs(files, "", func(l *logLine) bool { return l.Message != "" && l.Request == "" })
	if err != nil {
		return errors.Wrap(err, "timeline")
	}
	for _, e := range mergeEvents(lines) {
		at := time.UnixMilli(int64(e.at)).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(out, "%s  %-24s %s\n", at, formatRouters(e.routers), e.text); err != nil {
			return errors.Wrap(err, "timeline")
		}
	}
	return nil
}

// mergeEvents merges equal lines that follow each other within eventWindowMS.
func mergeEvents(lines []logLine) []*logEvent {
	var events []*logEvent
	latest := make(map[string]*logEvent)
	for _, l := range lines {
		text := describeLine(l)
		e := latest[text]
		if e == nil || l.At-e.lastSeen > eventWindowMS {
			e = &logEvent{at: l.At, text: text, routers: make(map[string]bool)}
			latest[text] = e
			events = append(events, e)
		}
		e.lastSeen = l.At
		e.routers[l.source] = true
	}
	return events
}

// describeLine returns the text of a line without its time and level: the logger, the message, and the other fields in
// order of name.
func describeLine(l logLine) string {
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(l.text))
	decoder.UseNumber() // keeps large numbers exact
	if err := decoder.Decode(&fields); err != nil {
		return l.Message // not expected, readLog has decoded the line
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

// maxNamedRouters is the largest number of routers that are listed by name.
const maxNamedRouters = 2

func formatRouters(routers map[string]bool) string {
	names := slices.Sorted(maps.Keys(routers))
	if len(names) > maxNamedRouters {
		return fmt.Sprintf("%d routers", len(names))
	}
	return strings.Join(names, ",")
}
