package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// followPeriod is the time between reads of new events.
const followPeriod = time.Second

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:      "timeline",
		Usage:     "show events of a router, of one request on all routers, or from log files",
		ArgsUsage: "[LOG-FILE…] (without files, the events come from a router)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "request `ID`"},
			&cli.BoolFlag{Name: "follow", Usage: "keep printing new events"},
			&cli.Uint64Flag{Name: "since", Usage: "show only events after event `NUMBER`"},
			&cli.IntFlag{Name: "limit", Value: admin.DefaultTimelineLimit, Usage: "largest `NUMBER` of events per read"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if files := c.Args().Slice(); len(files) > 0 {
				if request := c.String("request"); request != "" {
					return explain(c.Root().Writer, request, files)
				}
				return printLogEvents(c.Root().Writer, files)
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			query := admin.TimelineQuery{Since: c.Uint64("since"), Limit: c.Int("limit"), Request: c.String("request")}
			printer := newEventPrinter(c.Root().Writer, c.Bool("json"))
			printer.lastSeq = query.Since
			if err := printer.read(ctx, client, query); err != nil {
				return err
			}
			if query.Request != "" && len(printer.seen) == 0 {
				printer.printNote("no router has events of request " + query.Request)
			}
			if !c.Bool("follow") {
				return nil
			}
			return printer.follow(ctx, client, query)
		},
	}
}

// maxSeen bounds the memory for the keys of printed events in a long run of --follow. It is far above the number of
// events of one read.
const maxSeen = 100_000

// eventKey identifies an event of the fleet. It includes the time in nanoseconds because a restarted router starts its
// sequence numbers again.
type eventKey struct {
	router string
	seq    uint64
	at     int64
}

// eventPrinter prints each event once.
type eventPrinter struct {
	out      io.Writer
	json     bool
	seen     map[eventKey]bool
	lastSeq  uint64
	lastNote string
}

func newEventPrinter(out io.Writer, asJSON bool) *eventPrinter {
	return &eventPrinter{out: out, json: asJSON, seen: make(map[eventKey]bool)}
}

// follow reads and prints new events until the context ends. A failed read is printed as a note and does not end it.
func (p *eventPrinter) follow(ctx context.Context, client *adminhttp.Client, query admin.TimelineQuery) error {
	for periodic.Sleep(ctx, followPeriod) {
		// Sequence numbers order only the events of one router. A request's events come from several routers, so they are
		// all read again.
		if query.Request == "" {
			query.Since = p.lastSeq
		}
		if err := p.read(ctx, client, query); err != nil && ctx.Err() == nil {
			p.printNote(fmt.Sprintf("read failed: %v", err))
		}
	}
	return nil
}

func (p *eventPrinter) read(ctx context.Context, client *adminhttp.Client, query admin.TimelineQuery) error {
	timeline, err := client.Timeline(ctx, query)
	if err != nil {
		return err
	}
	p.print(timeline)
	return nil
}

func (p *eventPrinter) print(timeline admin.Timeline) {
	if timeline.Last > 0 && timeline.Last < p.lastSeq {
		// The router has restarted, and its sequence numbers start again.
		p.lastSeq = 0
	}
	events := append([]admin.Event(nil), timeline.Events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time.Before(events[j].Time) })
	for _, e := range events {
		if e.Router == timeline.Router {
			p.lastSeq = max(p.lastSeq, e.Seq)
		}
		key := eventKey{string(e.Router), e.Seq, e.Time.UnixNano()}
		if p.seen[key] {
			continue
		}
		if len(p.seen) >= maxSeen {
			clear(p.seen)
		}
		p.seen[key] = true
		p.printEvent(e)
	}
	missing := make([]string, len(timeline.Unreachable))
	for i, router := range timeline.Unreachable {
		missing[i] = string(router)
	}
	if len(missing) > 0 {
		p.printNote("events are missing from " + strings.Join(missing, ", "))
	}
}

func (p *eventPrinter) printEvent(e admin.Event) {
	if p.json {
		_ = json.NewEncoder(p.out).Encode(e)
		return
	}
	fmt.Fprintf(p.out, "%s  %s  %s%s\n", e.Time.UTC().Format("15:04:05.000"), e.Router, e.Kind, formatDetails(e))
}

func formatDetails(e admin.Event) string {
	var text strings.Builder
	addText := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&text, "  %s=%s", name, value)
		}
	}
	addNumber := func(name string, value uint64) {
		if value != 0 {
			fmt.Fprintf(&text, "  %s=%d", name, value)
		}
	}
	addText("request", e.Request)
	addNumber("attempt", uint64(e.Attempt))
	addText("team", string(e.Team))
	addText("pool", string(e.Pool))
	addText("backend", string(e.Backend))
	addText("peer", string(e.Peer))
	addNumber("generation", uint64(e.Generation))
	if e.Detail != "" {
		text.WriteString("  " + e.Detail)
	}
	return text.String()
}

// printNote prints a note, unless it equals the last one. In JSON output it is an object with the key "note".
func (p *eventPrinter) printNote(text string) {
	if text == p.lastNote {
		return
	}
	p.lastNote = text
	if p.json {
		_ = json.NewEncoder(p.out).Encode(map[string]string{"note": text})
		return
	}
	fmt.Fprintln(p.out, "note:", text)
}
