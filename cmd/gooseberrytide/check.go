package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/platform"
)

// checkStoreTimeout bounds reading the configuration in force. A slow store responds within 300 ms.
const checkStoreTimeout = 5 * time.Second

// standardInput names the standard input in place of a file.
const standardInput = "-"

// checkReport is the result of a check.
type checkReport struct {
	File     string                   `json:"file"`
	Findings []platform.ConfigFinding `json:"findings"`
	// Compared is set if the configuration was compared with the one in force, Changes are the differences.
	Compared bool     `json:"compared"`
	Changes  []string `json:"changes,omitempty"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration for the platform's store; exit code 0, 1 (warnings with --strict) or 2 (errors)",
		ArgsUsage: "FILE|-",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.BoolFlag{Name: "strict", Usage: "exit with 1 if there are warnings"},
			&cli.StringFlag{Name: "store", Usage: "compare with the version in the platform's store at `ADDRESS`"},
			&cli.StringFlag{Name: "against", Usage: "compare with the version in `FILE`"},
			&cli.StringFlag{Name: "settings", Usage: "check limits against the settings of a router in `FILE`"},
		},
		Action: check,
	}
}

// check returns errors of its own, such as a file that cannot be read, with the exit code for errors, so that 1 always
// means warnings.
func check(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return newExitError(exitFindings, "name one file, or - for the standard input")
	}
	report, err := newCheckReport(ctx, c)
	if err != nil {
		return newExitError(exitFindings, "%v", err)
	}
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(report)
	} else {
		renderCheck(c.Root().Writer, report)
	}
	if err != nil {
		return newExitError(exitFindings, "%v", err)
	}
	return report.exitError(c.Bool("strict"))
}

func newCheckReport(ctx context.Context, c *cli.Command) (*checkReport, error) {
	name := c.Args().First()
	if name == "" {
		name = standardInput
	}
	value, err := readConfig(c, name)
	if err != nil {
		return nil, err
	}
	config, findings := platform.CheckConfig(value)
	report := &checkReport{File: name, Findings: append([]platform.ConfigFinding{}, findings...)}
	if config == nil {
		return report, nil
	}
	if path := c.String("settings"); path != "" {
		settings, err := platform.ReadSettings(path)
		if err != nil {
			return nil, err
		}
		report.Findings = append(report.Findings, platform.CheckBounds(value, config, settings)...)
	}
	current, err := configInForce(ctx, c)
	if err != nil || current == nil {
		return report, err
	}
	report.compare(current, config, value)
	return report, nil
}

func readConfig(c *cli.Command, name string) ([]byte, error) {
	if name == standardInput {
		data, err := io.ReadAll(c.Root().Reader)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	return data, errors.Wrap(err, "read configuration")
}

// configInForce returns the configuration to compare with, or nil if no flag names one.
func configInForce(ctx context.Context, c *cli.Command) (*routing.Config, error) {
	address, file := c.String("store"), c.String("against")
	switch {
	case address != "" && file != "":
		return nil, errors.New("--store and --against exclude each other")
	case address != "":
		return fetchStoredConfig(ctx, address)
	case file != "":
		value, err := readConfig(c, file)
		if err != nil {
			return nil, err
		}
		config, err := platform.DecodeConfig(value, 0)
		return config, errors.Wrap(err, file)
	default:
		return nil, nil
	}
}

// fetchStoredConfig reads the configuration in the platform's store.
func fetchStoredConfig(ctx context.Context, address string) (*routing.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, checkStoreTimeout)
	defer cancel()
	entries, _, err := platform.NewStore(address, http.DefaultTransport, nil).List(ctx, platform.ConfigKey)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration in force")
	}
	for _, e := range entries {
		if e.Key == platform.ConfigKey {
			config, err := platform.DecodeConfig(e.Value, int64(e.Revision))
			return config, errors.Wrap(err, "configuration in force")
		}
	}
	return nil, errors.New("the store has no configuration")
}

// compare adds the differences to the configuration in force.
func (r *checkReport) compare(current, config *routing.Config, value []byte) {
	r.Compared = true
	r.Changes = diffConfigs(current, config)
	r.Findings = append(r.Findings, platform.CheckVersion(value, config, current, len(r.Changes) > 0)...)
}

func (r *checkReport) count(severity platform.Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// exitError returns the error with the exit code for the findings, or nil.
func (r *checkReport) exitError(strict bool) error {
	faults, warnings := r.count(platform.SeverityError), r.count(platform.SeverityWarning)
	switch {
	case faults > 0:
		return newExitError(exitFindings, "errors: %d, warnings: %d", faults, warnings)
	case strict && warnings > 0:
		return newExitError(exitFailed, "warnings: %d", warnings)
	default:
		return nil
	}
}

func renderCheck(w io.Writer, r *checkReport) {
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s:%d:%d: %s: ", r.File, f.Line, f.Column, f.Severity)
		if f.Field != "" {
			fmt.Fprintf(w, "%s: ", f.Field)
		}
		fmt.Fprintln(w, f.Message)
	}
	for _, change := range r.Changes {
		fmt.Fprintln(w, "change:", change)
	}
	if r.Compared && len(r.Changes) == 0 {
		fmt.Fprintln(w, "no change to the version in force")
	}
	fmt.Fprintf(w, "errors: %d, warnings: %d\n", r.count(platform.SeverityError), r.count(platform.SeverityWarning))
}
