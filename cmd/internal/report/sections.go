package report

import (
	"fmt"
	"html/template"
	"slices"
	"strconv"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

func statusSection(d Data) (section, error) {
	s := section{Title: "Processes and partitions", Header: []string{"kind", "id", "region", "zone", "configuration", "state"}}
	if d.Status == nil {
		return s, nil
	}
	for _, p := range d.Status.Processes {
		state := "ok"
		if p.Stale {
			state = "stale"
		}
		if p.Draining {
			state = "draining"
		}
		s.Rows = append(s.Rows, []string{p.Kind, p.ID, string(p.Region), string(p.Zone), fmt.Sprint(p.ConfigVersion), state})
	}
	for _, p := range d.Status.Partitions {
		state := fmt.Sprintf("%d workers, %d queued, %d running", p.Workers, p.Queued, p.Running)
		s.Rows = append(s.Rows, []string{"partition", string(p.ID), "", "", "", "owner " + string(p.Owner) + ", " + state})
	}
	return s, nil
}

func guaranteeSection(d Data) (section, error) {
	s := section{Title: "Guarantees", Header: []string{"workspace", "shape", "partition", "guaranteed", "held", "lent", "short"}}
	var names []string
	held, lent, short := []float64{}, []float64{}, []float64{}
	for _, g := range d.Guarantees {
		s.Rows = append(s.Rows, []string{string(g.Workspace), g.Shape, string(g.Partition), strconv.Itoa(g.Guaranteed), strconv.Itoa(g.Held), strconv.Itoa(g.Lent), strconv.Itoa(g.Short)})
		names = append(names, string(g.Workspace)+"/"+g.Shape)
		held, lent, short = append(held, float64(g.Held)), append(lent, float64(g.Lent)), append(short, float64(g.Short))
	}
	return addBarPlot(s, "gangs of each guaranteed shape", names, []series{{"held", held}, {"lent", lent}, {"short", short}})
}

func addBarPlot(s section, title string, names []string, values []series) (section, error) {
	if len(s.Rows) == 0 || len(names) > maxBarGroups {
		return s, nil
	}
	svg, err := barPlot(title, names, values)
	if err == nil {
		s.Plots = append(s.Plots, svg)
	}
	return s, err
}

func jobSection(d Data) (section, error) {
	s := section{Title: "Jobs", Header: []string{"state", "reason", "jobs"}}
	counts := make(map[[2]string]int)
	for _, j := range d.Jobs {
		counts[[2]string{j.State, j.Reason}]++
	}
	for _, state := range distinct(d.Jobs, func(j adminapi.Job) string { return j.State }) {
		for _, reason := range distinct(d.Jobs, func(j adminapi.Job) string { return j.Reason }) {
			if n := counts[[2]string{state, reason}]; n > 0 {
				s.Rows = append(s.Rows, []string{state, reason, strconv.Itoa(n)})
			}
		}
	}
	return s, nil
}

func loadSection(d Data) (section, error) {
	s := section{Title: "Load run", Header: []string{"measure", "value"}}
	if d.Load == nil {
		return s, nil
	}
	l := d.Load
	for _, row := range []struct {
		name  string
		value int
	}{
		{"sent", l.Sent}, {"answered", l.Answered}, {"not run", l.NotRun}, {"unknown", l.Unknown}, {"broken connections", l.Broken},
		{"lost", l.Lost}, {"wrong answers", l.Wrong}, {"duplicated", l.Duplicated}, {"false refusals", l.FalseRefusals},
		{"jobs accepted", l.JobsAccepted}, {"jobs lost", l.JobsLost}, {"jobs duplicated", l.JobsDuplicated},
	} {
		s.Rows = append(s.Rows, []string{row.name, strconv.Itoa(row.value)})
	}
	s.Rows = append(s.Rows, []string{"latency p50 / p90 / p99 / max (ms)", fmt.Sprintf("%.2f / %.2f / %.2f / %.2f", l.Latency.P50, l.Latency.P90, l.Latency.P99, l.Latency.Max)})
	if len(l.Latency.Curve) == 0 {
		return s, nil
	}
	svg, err := percentilePlot("latency by percentile", l.Latency.Curve)
	s.Plots = append(s.Plots, svg)
	return s, err
}

// benchMetric is one number of a trace result.
type benchMetric struct {
	name  string
	value func(trace.Result) (float64, bool)
}

func optionalValue(v *float64) (float64, bool) {
	if v == nil {
		return 0, false
	}
	return *v, true
}

var benchMetrics = []benchMetric{
	{"p50-completion-s", func(r trace.Result) (float64, bool) { return r.P50Completion, true }},
	{"p99-completion-s", func(r trace.Result) (float64, bool) { return r.P99Completion, true }},
	{"largest-gang-wait-s", func(r trace.Result) (float64, bool) { return r.LargestGangWait, true }},
	{"frag-ratio", func(r trace.Result) (float64, bool) { return r.FragRatio, true }},
	{"flood-goodput-ratio", func(r trace.Result) (float64, bool) { return optionalValue(r.FloodGoodputRatio) }},
	{"small-p99-ratio", func(r trace.Result) (float64, bool) { return optionalValue(r.SmallP99Ratio) }},
	{"lost-work-s", func(r trace.Result) (float64, bool) { return r.LostWork, true }},
	{"guarantee-violations", func(r trace.Result) (float64, bool) { return float64(r.GuaranteeViolations), true }},
}

func benchSection(d Data) (section, error) {
	s := section{Title: "Placement traces", Header: []string{"trace", "policy"}}
	for _, m := range benchMetrics {
		s.Header = append(s.Header, m.name)
	}
	for _, r := range d.Bench {
		row := []string{r.Trace, r.Policy}
		for _, m := range benchMetrics {
			text := ""
			if v, ok := m.value(r); ok {
				text = strconv.FormatFloat(v, 'g', 5, 64)
			}
			row = append(row, text)
		}
		s.Rows = append(s.Rows, row)
	}
	var err error
	s.Plots, err = benchPlots(d.Bench)
	return s, err
}

func benchPlots(results []trace.Result) ([]template.HTML, error) {
	var plots []template.HTML
	traces := distinct(results, func(r trace.Result) string { return r.Trace })
	policies := distinct(results, func(r trace.Result) string { return r.Policy })
	for _, m := range benchMetrics {
		var allSeries []series
		hasValue := false
		for _, policy := range policies {
			values := make([]float64, len(traces))
			for _, r := range results {
				if v, ok := m.value(r); ok && r.Policy == policy {
					values[slices.Index(traces, r.Trace)] = v
					hasValue = true
				}
			}
			allSeries = append(allSeries, series{policy, values})
		}
		if !hasValue {
			continue
		}
		svg, err := barPlot(m.name, traces, allSeries)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	return plots, nil
}
