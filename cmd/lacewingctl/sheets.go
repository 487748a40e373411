package main

import (
	"fmt"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/entry"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/settings"
)

type sheetCommands struct {
	Check   sheetCheckCommand   `cmd:"" help:"Check a sheet against the installation."`
	Diff    sheetDiffCommand    `cmd:"" help:"Show what a sheet changes."`
	Apply   sheetApplyCommand   `cmd:"" help:"Put a sheet in force."`
	History sheetHistoryCommand `cmd:"" help:"List accepted versions."`
	Show    sheetShowCommand    `cmd:"" help:"Print the sheet of a version."`
}

func readFile(name string) ([]byte, error) {
	raw, err := os.ReadFile(name)
	return raw, errkind.Wrap(errkind.InvalidArgument, err, "read the sheet")
}

type sheetCheckCommand struct {
	File    string `arg:"" help:"CSV file." type:"path"`
	Offline bool   `help:"Check the text only, without an entry."`
}

// Help returns examples.
func (sheetCheckCommand) Help() string {
	return "Example:\n  lacewingctl sheet check morning.csv\n\nAll problems are listed with line and column; the exit code is then 2."
}

// Run checks a sheet.
func (cmd sheetCheckCommand) Run(s *session) error {
	raw, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	if cmd.Offline {
		parsed, err := sheet.Parse(raw)
		if err != nil {
			return err
		}
		digest := sheet.Digest(parsed.Encode())
		return s.printer.Lines(map[string]string{"digest": digest}, "the text is valid, digest "+digest)
	}
	return compare(s, "/v1/config/check", nil, raw)
}

type sheetDiffCommand struct {
	File    string `arg:"" help:"CSV file." type:"path"`
	Version uint64 `help:"Version to compare with; the default is the one in force."`
}

// Run compares a sheet.
func (cmd sheetDiffCommand) Run(s *session) error {
	raw, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	query := url.Values{}
	if cmd.Version > 0 {
		query.Set("version", strconv.FormatUint(cmd.Version, 10))
	}
	return compare(s, "/v1/config/diff", query, raw)
}

func compare(s *session, path string, query url.Values, raw []byte) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	var result adminapi.CheckResult
	if err := c.Post(s.ctx, path, query, raw, &result); err != nil {
		return err
	}
	lines := append(result.Diff, fmt.Sprintf("%d changes to version %d; apply with --seen %d", len(result.Diff), result.Version, result.Version))
	return s.printer.Lines(result, lines...)
}

type sheetApplyCommand struct {
	File string `arg:"" help:"CSV file." type:"path"`
	Seen uint64 `help:"Version that the change is based on, as printed by sheet diff." required:""`
}

// Help returns examples.
func (sheetApplyCommand) Help() string {
	return "Example:\n  lacewingctl sheet diff morning.csv\n  lacewingctl sheet apply morning.csv --seen 41\n\n" +
		"When another operator was first, the exit code is 5 and the message names the version in force."
}

// Run applies a sheet.
func (cmd sheetApplyCommand) Run(s *session) error {
	raw, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	c, err := s.client(1)
	if err != nil {
		return err
	}
	var result adminapi.ApplyResult
	query := url.Values{"seen": {strconv.FormatUint(cmd.Seen, 10)}}
	if err := c.Post(s.ctx, "/v1/config/apply", query, raw, &result); err != nil {
		return err
	}
	lines := append(result.Diff, fmt.Sprintf("version %d is in force, digest %s", result.Record.Version, result.Record.Digest))
	return s.printer.Lines(result, lines...)
}

type sheetHistoryCommand struct {
	Limit int `help:"Number of versions." default:"20"`
}

// Run lists accepted versions.
func (cmd sheetHistoryCommand) Run(s *session) error {
	var list adminapi.HistoryList
	return get(s, "/v1/config/history?limit="+strconv.Itoa(cmd.Limit), &list, func() ([]string, [][]string) {
		var rows [][]string
		for _, r := range list.Records {
			rows = append(rows, []string{fmt.Sprint(r.Version), r.Time.Format(time.RFC3339), r.Operator, strconv.Itoa(r.Changes), short(r.Digest), short(r.Parent)})
		}
		return []string{"VERSION", "TIME", "OPERATOR", "CHANGES", "DIGEST", "PARENT"}, rows
	})
}

// shownDigest is the length of a digest in tables.
const shownDigest = 12

func short(digest string) string { return digest[:min(len(digest), shownDigest)] }

type sheetShowCommand struct {
	Version uint64 `help:"Version; the default is the one in force."`
}

// Run prints a sheet.
func (cmd sheetShowCommand) Run(s *session) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	query := url.Values{}
	if cmd.Version > 0 {
		query.Set("version", strconv.FormatUint(cmd.Version, 10))
	}
	var text adminapi.SheetText
	if err := c.Get(s.ctx, "/v1/config/sheet", query, &text); err != nil {
		return err
	}
	return s.printer.Lines(text, text.Sheet)
}

type settingsCommands struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file."`
}

type settingsCheckCommand struct {
	Kind string `arg:"" help:"entry or agent." enum:"entry,agent"`
	File string `arg:"" help:"JSON file." type:"path"`
}

// Run checks a settings file without starting anything.
func (cmd settingsCheckCommand) Run(s *session) error {
	var target settings.Validator = &entry.Settings{}
	if cmd.Kind == "agent" {
		target = &agent.Settings{}
	}
	if err := settings.Load(cmd.File, target); err != nil {
		return err
	}
	return s.printer.Lines(target, "the settings are valid")
}
