package main

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of a request from all routers in chronological order",
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

// explain prints the log lines of a request, with times in milliseconds since the first one. Without files, it reads
// standard input.
func explain(out io.Writer, request string, files []string) error {
	lines, err := readLogs(files, request, func(l *logLine) bool { return l.Request == request })
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	if len(lines) == 0 {
		return newExitError(exitFindings, "explain: no line of request %s found", request)
	}
	first := lines[0].At
	for _, l := range lines {
		_, err := fmt.Fprintf(out, "%+9.1f ms  %-12s %-10s %s\n", l.At-first, l.source, l.Message, l.text)
		if err != nil {
			return errors.Wrap(err, "explain")
		}
	}
	return nil
}
