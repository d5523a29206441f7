package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// logLine is a line of a router's log.
type logLine struct {
	// At is in milliseconds of Unix time.
	At      float64 `json:"ts"`
	Logger  string  `json:"logger"`
	Message string  `json:"msg"`
	Request string  `json:"request"`

	// source is the router that a collector has put before the line, or the file.
	source string
	text   string
}

// readLogs returns the lines of files that keep takes, in order of time. Lines without the given text are passed over
// unread. Without files, standard input is read.
func readLogs(files []string, text string, keep func(l *logLine) bool) ([]logLine, error) {
	var all []logLine
	if len(files) == 0 {
		lines, err := readLog(os.Stdin, "-", text, keep)
		if err != nil {
			return nil, err
		}
		all = lines
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := readLog(f, name, text, keep)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

// readLog reads one log. A line may begin with text of a collector; lines that are not JSON are passed over.
func readLog(r io.Reader, file, text string, keep func(l *logLine) bool) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		prefix, body, ok := strings.Cut(scanner.Text(), "{")
		if !ok || !strings.Contains(body, text) {
			continue
		}
		l := logLine{source: file, text: "{" + body}
		if err := json.Unmarshal([]byte(l.text), &l); err != nil || !keep(&l) {
			continue
		}
		if from := strings.Fields(prefix); len(from) > 0 {
			l.source = from[len(from)-1]
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", file)
}
