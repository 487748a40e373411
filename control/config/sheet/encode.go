package sheet

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Encode returns the canonical text: the full header and all records in a fixed
// order with explicit defaults. Equal sheets have equal texts. No field can
// contain a comma, quote or line break, because the parser rejects them.
func (s *Sheet) Encode() []byte {
	var out bytes.Buffer
	out.WriteString(strings.Join(Columns, ","))
	out.WriteByte('\n')
	for _, line := range s.lines() {
		out.WriteString(line.text)
		out.WriteByte('\n')
	}
	return out.Bytes()
}

// encodedLine is an encoded record with an id that identifies it in comparisons.
type encodedLine struct {
	id     string
	fields []string
	text   string
}

func (s *Sheet) lines() []encodedLine {
	out := make([]encodedLine, 0, len(s.Workspaces)+len(s.Shapes)+len(s.Services)+len(s.Callers))
	for _, w := range s.Workspaces {
		out = append(out, newLine("workspace "+string(w.Name), "workspace", string(w.Name), "", "", "", "", "",
			strconv.Itoa(w.Weight), strconv.Itoa(w.Priority), strconv.Itoa(w.MaxQueue), "", "", "", "", ""))
	}
	for _, sh := range s.Shapes {
		out = append(out, newLine("shape "+string(sh.Workspace)+"/"+sh.Name, "shape", string(sh.Workspace), sh.Name,
			strconv.Itoa(sh.Count), strconv.Itoa(sh.Tasks), strconv.Itoa(sh.PerTask.Accelerators), LocalityName(sh.Locality), "", "", "",
			strconv.Itoa(sh.PerTask.Cores), strconv.Itoa(sh.PerTask.MemoryMB), string(sh.Partition), "", ""))
	}
	for _, sv := range s.Services {
		out = append(out, newLine("service "+string(sv.Name), "service", string(sv.Workspace), string(sv.Name), "", "", "", "", "", "",
			strconv.Itoa(sv.MaxQueue), "", "", "", "", ""))
	}
	for _, c := range s.Callers {
		hash := ""
		if !c.KeyHash.IsZero() {
			hash = c.KeyHash.String()
		}
		out = append(out, newLine("caller "+string(c.Workspace)+"/"+string(c.Name), "caller", string(c.Workspace), string(c.Name),
			"", "", "", "", strconv.Itoa(c.Weight), "", "", "", "", "", string(c.Role), hash))
	}
	return out
}

func newLine(id string, fields ...string) encodedLine {
	return encodedLine{id: id, fields: fields, text: strings.Join(fields, ",")}
}

// LocalityName returns the text form of a locality.
func LocalityName(l model.Locality) string {
	for name, locality := range localityNames {
		if locality == l {
			return name
		}
	}
	return "partition"
}

// ParseLocality parses the text form of a locality.
func ParseLocality(text string) (model.Locality, bool) {
	l, ok := localityNames[text]
	return l, ok
}
