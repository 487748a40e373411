package sheet

import (
	"maps"
	"slices"
	"strings"
)

// Diff describes the changes from before to after in readable lines: "+" for an
// added record, "-" for a removed one, and "~" for a changed one with its changed
// fields.
func Diff(before, after *Sheet) []string {
	oldRecords := before.byID()
	newRecords := after.byID()
	ids := make(map[string]bool, len(oldRecords)+len(newRecords))
	for id := range oldRecords {
		ids[id] = true
	}
	for id := range newRecords {
		ids[id] = true
	}
	var out []string
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if line := describe(id, oldRecords[id], newRecords[id]); line != "" {
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

func describe(id string, oldFields, newFields []string) string {
	switch {
	case oldFields == nil:
		return "+ " + id + details(newFields)
	case newFields == nil:
		return "- " + id
	}
	var changes []string
	for i, column := range Columns {
		if oldFields[i] != newFields[i] {
			changes = append(changes, column+" "+displayValue(column, oldFields[i])+" -> "+displayValue(column, newFields[i]))
		}
	}
	if len(changes) == 0 {
		return ""
	}
	return "~ " + id + ": " + strings.Join(changes, ", ")
}

// firstDetailColumn skips record, workspace and name, which the id contains.
const firstDetailColumn = 3

func details(fields []string) string {
	var out []string
	for i, value := range fields {
		if i >= firstDetailColumn && value != "" && value != "0" {
			out = append(out, Columns[i]+" "+displayValue(Columns[i], value))
		}
	}
	if len(out) == 0 {
		return ""
	}
	return ": " + strings.Join(out, ", ")
}

// displayValue shortens key hashes, which are of no use to a reader.
func displayValue(column, value string) string {
	switch {
	case value == "":
		return "(none)"
	case column == "key_hash":
		return "set (" + value[len(value)-6:] + ")"
	default:
		return value
	}
}
