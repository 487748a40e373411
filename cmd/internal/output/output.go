// Package output prints results as aligned tables or as JSON.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format says how results are printed.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer prints results.
type Printer struct {
	Out    io.Writer
	Format Format
}

// Rows prints value as JSON, or the header and rows as an aligned table.
func (p Printer) Rows(value any, header []string, rows [][]string) error {
	if p.Format == JSON {
		return p.json(value)
	}
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(header, "\t")); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Fields prints value as JSON, or name and value pairs in two columns.
func (p Printer) Fields(value any, pairs ...string) error {
	if p.Format == JSON {
		return p.json(value)
	}
	w := tabwriter.NewWriter(p.Out, 0, 0, 2, ' ', 0)
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s:\t%s\n", pairs[i], pairs[i+1]); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Lines prints value as JSON, or the lines.
func (p Printer) Lines(value any, lines ...string) error {
	if p.Format == JSON {
		return p.json(value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(p.Out, line); err != nil {
			return err
		}
	}
	return nil
}

func (p Printer) json(value any) error {
	enc := json.NewEncoder(p.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
