// Package report writes one self-contained HTML page with tables and SVG plots
// from a live system, a load run or a benchmark result.
package report

import (
	"bytes"
	"encoding/json"
	"html/template"
	"io"
	"slices"
	"time"

	_ "embed" // for the template

	"github.com/lacewingpier/lacewingpier/cmd/internal/load"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Data is what a report shows. Absent parts are left out.
type Data struct {
	Title   string
	Created time.Time
	// Status, Guarantees and Jobs come from a live system.
	Status     *adminapi.Status
	Guarantees []adminapi.Guarantee
	Jobs       []adminapi.Job
	Load       *load.Result
	Bench      []trace.Result
}

// AddResult adds a JSON result of a load run or of the trace benchmarks.
func (d *Data) AddResult(raw []byte) error {
	var bench []trace.Result
	if err := json.Unmarshal(raw, &bench); err == nil && len(bench) > 0 && bench[0].Trace != "" {
		d.Bench = append(d.Bench, bench...)
		return nil
	}
	var probe struct {
		Sent  *int   `json:"sent"`
		Trace string `json:"trace"`
	}
	if err := json.Unmarshal(raw, &probe); err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "decode the result")
	}
	switch {
	case probe.Sent != nil:
		d.Load = &load.Result{}
		return errkind.Wrap(errkind.InvalidArgument, json.Unmarshal(raw, d.Load), "decode the load result")
	case probe.Trace != "":
		var single trace.Result
		err := json.Unmarshal(raw, &single)
		d.Bench = append(d.Bench, single)
		return errkind.Wrap(errkind.InvalidArgument, err, "decode the benchmark result")
	default:
		return errkind.New(errkind.InvalidArgument, "the file holds neither a load result nor benchmark results")
	}
}

// section is one heading with a table and plots.
type section struct {
	Title  string
	Header []string
	Rows   [][]string
	Plots  []template.HTML
}

type pageData struct {
	Title    string
	Created  string
	Sections []section
}

// Write renders the page. It holds no reference to another file or host.
func Write(w io.Writer, d Data) error {
	v := pageData{Title: d.Title, Created: d.Created.UTC().Format(time.RFC3339)}
	for _, build := range []func(Data) (section, error){statusSection, guaranteeSection, jobSection, loadSection, benchSection} {
		s, err := build(d)
		if err != nil {
			return err
		}
		if len(s.Rows) > 0 {
			v.Sections = append(v.Sections, s)
		}
	}
	if len(v.Sections) == 0 {
		return errkind.New(errkind.InvalidArgument, "there is nothing to report")
	}
	var out bytes.Buffer
	if err := page.Execute(&out, v); err != nil {
		return errkind.Wrap(errkind.Internal, err, "render the report")
	}
	_, err := w.Write(out.Bytes())
	return err
}

// distinct returns the values in order of first appearance.
func distinct[T any](list []T, key func(T) string) []string {
	var out []string
	for _, item := range list {
		if k := key(item); !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}
