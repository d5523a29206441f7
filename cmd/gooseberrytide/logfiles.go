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

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 1 << 20

// logLine is a line of a router's log.
type logLine struct {
	// At is in milliseconds of Unix time.
	At      float64 `json:"ts"`
	Logger  string  `json:"logger"`
	Message string  `json:"msg"`
	Request string  `json:"request"`

	// source is the router's name that a log collector has put before the line, or the name of the file.
	source string
	text   string
}

// readLogs returns the lines of files that keep accepts, in chronological order. Lines that do not contain text are
// skipped without decoding. Without files, it reads standard input.
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

// readLog reads one log. A line may begin with a log collector's prefix. Lines that are not JSON are skipped.
func readLog(r io.Reader, file, text string, keep func(l *logLine) bool) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLineBytes)
	for scanner.Scan() {
		prefix, body, ok := strings.Cut(scanner.Text(), "{")
		if !ok || !strings.Contains(body, text) {
			continue
		}
		l := logLine{source: file, text: "{" + body}
		if err := json.Unmarshal([]byte(l.text), &l); err != nil || !keep(&l) {
			continue
		}
		if prefixFields := strings.Fields(prefix); len(prefixFields) > 0 {
			l.source = prefixFields[len(prefixFields)-1]
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", file)
}
