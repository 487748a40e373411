package sheet

import (
	"maps"
	"slices"
	"strings"
)

// Diff describes in readable lines what changes from old to new: "+" for an
// added record, "-" for a removed one and "~" for a changed one with each
// changed field.
func Diff(before, after *Sheet) []string {
	was := before.byID()
	is := after.byID()
	ids := make(map[string]bool, len(was)+len(is))
	for id := range was {
		ids[id] = true
	}
	for id := range is {
		ids[id] = true
	}
	var out []string
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if line := describe(id, was[id], is[id]); line != "" {
			out = append(out, line)
		}
	}
	return out
}

func (s *Sheet) byID() map[string][]string {
	out := make(map[string][]string)
	for _, line := range s.lines() {
		out[line.id] = line.fields
	}
	return out
}

func describe(id string, was, is []string) string {
	switch {
	case was == nil:
		return "+ " + id + details(is)
	case is == nil:
		return "- " + id
	}
	var changes []string
	for i, column := range Columns {
		if was[i] != is[i] {
			changes = append(changes, column+" "+shown(column, was[i])+" -> "+shown(column, is[i]))
		}
	}
	if len(changes) == 0 {
		return ""
	}
	return "~ " + id + ": " + strings.Join(changes, ", ")
}

// firstDetail skips record, workspace and name, which the identity shows.
const firstDetail = 3

func details(fields []string) string {
	var out []string
	for i, value := range fields {
		if i >= firstDetail && value != "" && value != "0" {
			out = append(out, Columns[i]+" "+shown(Columns[i], value))
		}
	}
	if len(out) == 0 {
		return ""
	}
	return ": " + strings.Join(out, ", ")
}

// shown hides key hashes, which are of no use to a reader.
func shown(column, value string) string {
	switch {
	case value == "":
		return "(none)"
	case column == "key_hash":
		return "set (" + value[len(value)-6:] + ")"
	default:
		return value
	}
}
