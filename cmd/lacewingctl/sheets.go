package main

import (
	"fmt"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/config/exchange"
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

func readSheet(name string) ([]byte, error) {
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
func (cmd sheetCheckCommand) Run(inv *invocation) error {
	raw, err := readSheet(cmd.File)
	if err != nil {
		return err
	}
	if cmd.Offline {
		parsed, err := sheet.Parse(raw)
		if err != nil {
			return err
		}
		digest := exchange.Digest(parsed.Encode())
		return inv.printer.Lines(map[string]string{"digest": digest}, "the text is valid, digest "+digest)
	}
	return printDiff(inv, "/v1/config/check", nil, raw)
}

type sheetDiffCommand struct {
	File    string `arg:"" help:"CSV file." type:"path"`
	Version uint64 `help:"Version to compare with; the default is the one in force."`
}

// Run compares a sheet.
func (cmd sheetDiffCommand) Run(inv *invocation) error {
	raw, err := readSheet(cmd.File)
	if err != nil {
		return err
	}
	query := url.Values{}
	if cmd.Version > 0 {
		query.Set("version", strconv.FormatUint(cmd.Version, 10))
	}
	return printDiff(inv, "/v1/config/diff", query, raw)
}

func printDiff(inv *invocation, path string, query url.Values, raw []byte) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	var result adminapi.CheckResult
	if err := c.Post(inv.ctx, path, query, raw, &result); err != nil {
		return err
	}
	lines := append(result.Diff, fmt.Sprintf("%d changes to version %d; apply with --seen %d", len(result.Diff), result.Version, result.Version))
	return inv.printer.Lines(result, lines...)
}

type sheetApplyCommand struct {
	File string `arg:"" help:"CSV file." type:"path"`
	Seen uint64 `help:"Version that the change is based on, as printed by sheet diff." required:""`
}

// Help returns examples.
func (sheetApplyCommand) Help() string {
	return "Example:\n  lacewingctl sheet diff morning.csv\n  lacewingctl sheet apply morning.csv --seen 41\n\n" +
		"When another operator applied a change first, the exit code is 5 and the message names the version in force."
}

// Run applies a sheet.
func (cmd sheetApplyCommand) Run(inv *invocation) error {
	raw, err := readSheet(cmd.File)
	if err != nil {
		return err
	}
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	var result adminapi.ApplyResult
	query := url.Values{"seen": {strconv.FormatUint(cmd.Seen, 10)}}
	if err := c.Post(inv.ctx, "/v1/config/apply", query, raw, &result); err != nil {
		return err
	}
	lines := append(result.Diff, fmt.Sprintf("version %d is in force, digest %s", result.Record.Version, result.Record.Digest))
	return inv.printer.Lines(result, lines...)
}

type sheetHistoryCommand struct {
	Limit int `help:"Number of versions." default:"20"`
}

// Run lists accepted versions.
func (cmd sheetHistoryCommand) Run(inv *invocation) error {
	var list adminapi.HistoryList
	return printList(inv, "/v1/config/history?limit="+strconv.Itoa(cmd.Limit), &list, func() ([]string, [][]string) {
		var rows [][]string
		for _, r := range list.Records {
			rows = append(rows, []string{fmt.Sprint(r.Version), r.Time.Format(time.RFC3339), r.Operator, strconv.Itoa(r.Changes), shortDigest(r.Digest), shortDigest(r.Parent)})
		}
		return []string{"VERSION", "TIME", "OPERATOR", "CHANGES", "DIGEST", "PARENT"}, rows
	})
}

// shownDigestLength is the number of characters of a digest shown in tables.
const shownDigestLength = 12

func shortDigest(digest string) string { return digest[:min(len(digest), shownDigestLength)] }

type sheetShowCommand struct {
	Version uint64 `help:"Version; the default is the one in force."`
}

// Run prints a sheet.
func (cmd sheetShowCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	query := url.Values{}
	if cmd.Version > 0 {
		query.Set("version", strconv.FormatUint(cmd.Version, 10))
	}
	var text adminapi.SheetText
	if err := c.Get(inv.ctx, "/v1/config/sheet", query, &text); err != nil {
		return err
	}
	return inv.printer.Lines(text, text.Sheet)
}

type settingsCommands struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file."`
}

type settingsCheckCommand struct {
	Kind string `arg:"" help:"entry or agent." enum:"entry,agent"`
	File string `arg:"" help:"JSON file." type:"path"`
}

// Run checks a settings file without starting anything.
func (cmd settingsCheckCommand) Run(inv *invocation) error {
	var target settings.Validator = &entry.Settings{}
	if cmd.Kind == "agent" {
		target = &agent.Settings{}
	}
	if err := settings.Load(cmd.File, target); err != nil {
		return err
	}
	return inv.printer.Lines(target, "the settings are valid")
}
