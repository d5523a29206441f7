package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of a request from all routers in order of time",
		ArgsUsage: "REQUEST-ID [LOG-FILE…] (standard input if no file is named)",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) == 0 || args[0] == "" {
				return errors.New("explain: a request ID is required")
			}
			return explain(c.Root().Writer, args[0], args[1:])
		},
	}
}

// logLine is a line of a router's log.
type logLine struct {
	// At is in milliseconds of Unix time.
	At      float64 `json:"ts"`
	Logger  string  `json:"logger"`
	Message string  `json:"msg"`
	Request string  `json:"request"`

	file string
	text string
}

// explain prints the lines of a request from files.
func explain(out io.Writer, request string, files []string) error {
	lines, err := linesOf(request, files)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fail(exitFindings, "explain: no line of request %s", request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.At, b.At) })
	first := lines[0].At
	for _, l := range lines {
		_, err := fmt.Fprintf(out, "%+9.1f ms  %-12s %-10s %s\n", l.At-first, l.file, l.Message, l.text)
		if err != nil {
			return errors.Wrap(err, "explain")
		}
	}
	return nil
}

func linesOf(request string, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLines(os.Stdin, "-", request)
	}
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		lines, err := readLines(f, name, request)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLines returns the lines of a request. A line may begin with text of a collector; lines that are not JSON are passed
// over.
func readLines(r io.Reader, file, request string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok || !strings.Contains(text, request) {
			continue
		}
		l := logLine{file: file, text: "{" + text}
		if err := json.Unmarshal([]byte(l.text), &l); err != nil || l.Request != request {
			continue
		}
		if from := strings.Fields(prefix); len(from) > 0 {
			l.file = from[len(from)-1]
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(scanner.Err(), "explain: %s", file)
}
