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

// followPoll is the time between reads of new events.
const followPoll = time.Second

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:      "timeline",
		Usage:     "show events of a router, of one request on all routers, or the changes that logs tell",
		ArgsUsage: "[LOG-FILE…] (without files a router is asked)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "request `ID`"},
			&cli.BoolFlag{Name: "follow", Usage: "go on with new events"},
			&cli.Uint64Flag{Name: "since", Usage: "`NUMBER` of the last event to leave out"},
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
			client, err := client(c)
			if err != nil {
				return err
			}
			query := admin.TimelineQuery{Since: c.Uint64("since"), Limit: c.Int("limit"), Request: c.String("request")}
			printer := newEventPrinter(c.Root().Writer, c.Bool("json"))
			printer.last = query.Since
			if err := printer.read(ctx, client, query); err != nil {
				return err
			}
			if query.Request != "" && len(printer.seen) == 0 {
				printer.note("no router has events of request " + query.Request)
			}
			if !c.Bool("follow") {
				return nil
			}
			return printer.follow(ctx, client, query)
		},
	}
}

// maxSeen bounds the memory of a long follow. It is far above the events of one read.
const maxSeen = 100_000

// eventKey identifies an event of the fleet. A restarted router numbers its events anew.
type eventKey struct {
	router string
	seq    uint64
	at     int64
}

// eventPrinter prints each event once.
type eventPrinter struct {
	out    io.Writer
	json   bool
	seen   map[eventKey]bool
	last   uint64
	missed string
}

func newEventPrinter(out io.Writer, asJSON bool) *eventPrinter {
	return &eventPrinter{out: out, json: asJSON, seen: make(map[eventKey]bool)}
}

// follow reads until the context ends. A router that does not answer for a moment does not end it.
func (p *eventPrinter) follow(ctx context.Context, client *adminhttp.Client, query admin.TimelineQuery) error {
	for periodic.Sleep(ctx, followPoll) {
		// The sequence numbers of one router order its events only; a request's events come from several.
		if query.Request == "" {
			query.Since = p.last
		}
		if err := p.read(ctx, client, query); err != nil && ctx.Err() == nil {
			p.note(fmt.Sprintf("read failed: %v", err))
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
	if timeline.Last > 0 && timeline.Last < p.last {
		// The router restarted and numbers its events anew.
		p.last = 0
	}
	events := append([]admin.Event(nil), timeline.Events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time.Before(events[j].Time) })
	for _, e := range events {
		if e.Router == timeline.Router {
			p.last = max(p.last, e.Seq)
		}
		key := eventKey{string(e.Router), e.Seq, e.Time.UnixNano()}
		if p.seen[key] {
			continue
		}
		if len(p.seen) >= maxSeen {
			clear(p.seen)
		}
		p.seen[key] = true
		p.event(e)
	}
	missing := make([]string, len(timeline.Unreachable))
	for i, router := range timeline.Unreachable {
		missing[i] = string(router)
	}
	if len(missing) > 0 {
		p.note("events are missing from " + strings.Join(missing, ", "))
	}
}

func (p *eventPrinter) event(e admin.Event) {
	if p.json {
		_ = json.NewEncoder(p.out).Encode(e)
		return
	}
	fmt.Fprintf(p.out, "%s  %s  %s%s\n", e.Time.UTC().Format("15:04:05.000"), e.Router, e.Kind, details(e))
}

func details(e admin.Event) string {
	var text strings.Builder
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&text, "  %s=%s", name, value)
		}
	}
	number := func(name string, value uint64) {
		if value != 0 {
			fmt.Fprintf(&text, "  %s=%d", name, value)
		}
	}
	add("request", e.Request)
	number("attempt", uint64(e.Attempt))
	add("team", string(e.Team))
	add("pool", string(e.Pool))
	add("backend", string(e.Backend))
	add("peer", string(e.Peer))
	number("generation", uint64(e.Generation))
	if e.Detail != "" {
		text.WriteString("  " + e.Detail)
	}
	return text.String()
}

// note prints a remark once in a row; JSON output has a line of its own kind for it.
func (p *eventPrinter) note(text string) {
	if text == p.missed {
		return
	}
	p.missed = text
	if p.json {
		_ = json.NewEncoder(p.out).Encode(map[string]string{"note": text})
		return
	}
	fmt.Fprintln(p.out, "note:", text)
}
