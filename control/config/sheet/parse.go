package sheet

import (
	"bytes"
	"encoding/csv"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Limits of a sheet. They keep a body well below the object size that can be sent
// to every process within the limit on propagation time.
const (
	// MaxBytes limits the text.
	MaxBytes = 8 << 20
	// MaxNameBytes limits each name.
	MaxNameBytes = 63
	// MaxTasks limits the members of a gang.
	MaxTasks = 64
	// maxProblems limits the error for a text that is not a sheet.
	maxProblems = 1000
	maxNumber   = math.MaxInt32
)

// Columns lists the columns of the header in canonical order. The first ten are
// required.
var Columns = []string{
	"record", "workspace", "name", "count", "tasks", "accelerators", "locality", "weight", "priority", "max_queue",
	"cores", "memory_mb", "partition", "role", "key_hash",
}

const requiredColumns = 10

// allowedColumns lists the columns that may be set in each kind of record.
var allowedColumns = map[string][]string{
	"workspace": {"record", "workspace", "weight", "priority", "max_queue"},
	"shape":     {"record", "workspace", "name", "count", "tasks", "accelerators", "locality", "cores", "memory_mb", "partition"},
	"service":   {"record", "workspace", "name", "max_queue"},
	"caller":    {"record", "workspace", "name", "weight", "role", "key_hash"},
}

type parser struct {
	csv        *csv.Reader
	columns    map[string]int
	sheet      *Sheet
	problems   Problems
	firstLines map[string]int
	refs       []workspaceRef
}

type workspaceRef struct {
	name ident.Workspace
	at   Problem
}

// Parse parses a sheet. The error lists all problems with their positions.
func Parse(text []byte) (*Sheet, error) {
	s, problems := parse(text)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// parse returns all valid records and the problems of the others.
func parse(text []byte) (*Sheet, Problems) {
	s := &Sheet{positions: make(map[ShapeRef]shapePosition)}
	if len(text) > MaxBytes {
		message := "the sheet has " + strconv.Itoa(len(text)) + " bytes; the limit is " + strconv.Itoa(MaxBytes)
		return s, Problems{{Message: message, kind: errkind.InvalidArgument}}
	}
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	p := &parser{csv: csv.NewReader(bytes.NewReader(text)), sheet: s, firstLines: make(map[string]int)}
	p.csv.FieldsPerRecord = -1
	p.csv.ReuseRecord = true
	if !p.header() {
		return s, p.problems
	}
	p.records()
	p.checkReferences()
	s.sort()
	return s, p.problems
}

func (p *parser) addProblem(line, column int, field, message string) {
	if len(p.problems) == maxProblems {
		message, field = "too many problems; the rest are not listed", ""
	}
	if len(p.problems) <= maxProblems {
		p.problems = append(p.problems, Problem{line, column, field, message, errkind.InvalidArgument})
	}
}

func (p *parser) header() bool {
	fields, err := p.csv.Read()
	if err != nil {
		p.addSyntaxError(err)
		return false
	}
	p.columns = make(map[string]int, len(fields))
	for i, name := range fields {
		line, column := p.csv.FieldPos(i)
		if !slices.Contains(Columns, name) {
			p.addProblem(line, column, "", "unknown column "+strconv.Quote(name))
		} else if _, duplicate := p.columns[name]; duplicate {
			p.addProblem(line, column, name, "the column appears twice")
		}
		p.columns[name] = i
	}
	for _, name := range Columns[:requiredColumns] {
		if _, ok := p.columns[name]; !ok {
			p.addProblem(1, 1, name, "the column is missing from the header")
		}
	}
	return len(p.problems) == 0
}

func (p *parser) addSyntaxError(err error) {
	var parseError *csv.ParseError
	switch {
	case errors.Is(err, io.EOF):
		p.addProblem(1, 1, "", "the sheet is empty; it must begin with a header")
	case errors.As(err, &parseError):
		p.addProblem(parseError.Line, parseError.Column, "", parseError.Err.Error())
	default:
		p.addProblem(1, 1, "", err.Error())
	}
}

func (p *parser) records() {
	for len(p.problems) <= maxProblems {
		fields, err := p.csv.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.addSyntaxError(err)
			continue
		}
		if len(fields) != len(p.columns) {
			line, column := p.csv.FieldPos(0)
			p.addProblem(line, column, "", "the record has "+strconv.Itoa(len(fields))+" fields; the header has "+strconv.Itoa(len(p.columns)))
			continue
		}
		r := &record{parser: p, fields: fields, problemsBefore: len(p.problems)}
		r.parse()
	}
}

func (p *parser) checkReferences() {
	for _, ref := range p.refs {
		if _, ok := p.firstLines["workspace\x00"+string(ref.name)]; !ok {
			p.addProblem(ref.at.Line, ref.at.Column, ref.at.Field, "unknown workspace "+strconv.Quote(string(ref.name)))
		}
	}
}

// record is one line of the sheet.
type record struct {
	*parser
	fields         []string
	problemsBefore int
}

func (r *record) ok() bool { return len(r.problems) == r.problemsBefore }

func (r *record) text(field string) string {
	i, ok := r.columns[field]
	if !ok {
		return ""
	}
	return strings.Clone(strings.TrimSpace(r.fields[i]))
}

func (r *record) position(field string) (line, column int) {
	i, ok := r.columns[field]
	if !ok {
		i = 0
	}
	return r.csv.FieldPos(i)
}

func (r *record) fail(field, message string) {
	line, column := r.position(field)
	r.addProblem(line, column, field, message)
}

func (r *record) parse() {
	kind := r.text("record")
	allowed, known := allowedColumns[kind]
	if !known {
		r.fail("record", "must be workspace, shape, service or caller, not "+strconv.Quote(kind))
		return
	}
	for field := range r.columns {
		if !slices.Contains(allowed, field) && r.text(field) != "" {
			r.fail(field, "must be empty in a "+kind+" record")
		}
	}
	switch kind {
	case "workspace":
		r.workspace()
	case "shape":
		r.shape()
	case "service":
		r.service()
	case "caller":
		r.caller()
	}
}

// unique reports a problem if an earlier record has the same key.
func (r *record) unique(field, key, what string) {
	line, _ := r.position(field)
	if first, duplicate := r.firstLines[key]; duplicate {
		r.fail(field, "duplicate "+what+"; the first is in line "+strconv.Itoa(first))
		return
	}
	r.firstLines[key] = line
}

func (r *record) name(field string) string {
	text := r.text(field)
	if reason := checkName(text); reason != "" {
		r.fail(field, reason)
	}
	return text
}

func checkName(text string) string {
	if text == "" {
		return "is missing"
	}
	if len(text) > MaxNameBytes {
		return "is longer than " + strconv.Itoa(MaxNameBytes) + " bytes"
	}
	for _, c := range []byte(text) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return "may contain only a-z, 0-9, - and _"
		}
	}
	return ""
}

// number parses a whole number of at least low. An empty field yields fallback; a
// fallback below low, such as noDefault, makes the field required.
func (r *record) number(field string, low, fallback int) int {
	text := r.text(field)
	if text == "" {
		if fallback < low {
			r.fail(field, "is missing")
		}
		return fallback
	}
	n, err := strconv.Atoi(text)
	switch {
	case err != nil:
		r.fail(field, strconv.Quote(text)+" is not a whole number")
	case n < low:
		r.fail(field, strconv.Itoa(n)+" is below "+strconv.Itoa(low))
	case n > maxNumber:
		r.fail(field, strconv.Itoa(n)+" is above "+strconv.Itoa(maxNumber))
	}
	return n
}

const noDefault = -1

func (r *record) workspaceReference() ident.Workspace {
	name := ident.Workspace(r.name("workspace"))
	if name != "" {
		line, column := r.position("workspace")
		r.refs = append(r.refs, workspaceRef{name, Problem{Line: line, Column: column, Field: "workspace"}})
	}
	return name
}

func (r *record) workspace() {
	w := Workspace{
		Name:     ident.Workspace(r.name("workspace")),
		Weight:   r.number("weight", 1, 1),
		Priority: r.number("priority", 0, 0),
		MaxQueue: r.number("max_queue", 0, 0),
	}
	if w.Name == OperatorWorkspace {
		r.fail("workspace", "the name is reserved for operators")
	}
	r.unique("workspace", "workspace\x00"+string(w.Name), "workspace")
	if r.ok() {
		r.sheet.Workspaces = append(r.sheet.Workspaces, w)
	}
}

func (r *record) shape() {
	s := Shape{
		Workspace: r.workspaceReference(),
		Name:      r.name("name"),
		Count:     r.number("count", 1, noDefault),
		Tasks:     r.number("tasks", 1, noDefault),
		PerTask: model.Resources{
			Accelerators: r.number("accelerators", 1, noDefault),
			Cores:        r.number("cores", 0, 0),
			MemoryMB:     r.number("memory_mb", 0, 0),
		},
		Locality: r.locality(),
	}
	if s.Tasks > MaxTasks {
		r.fail("tasks", "a gang has at most "+strconv.Itoa(MaxTasks)+" tasks")
	}
	if r.text("partition") != "" {
		s.Partition = ident.Partition(r.name("partition"))
	}
	r.unique("name", "shape\x00"+string(s.Workspace)+"\x00"+s.Name, "shape")
	if r.ok() {
		r.sheet.Shapes = append(r.sheet.Shapes, s)
		r.sheet.positions[ShapeRef{s.Workspace, s.Name}] = r.shapePosition()
	}
}

func (r *record) shapePosition() shapePosition {
	line, name := r.position("name")
	_, count := r.position("count")
	_, home := r.position("partition")
	return shapePosition{line, name, count, home}
}

var localityNames = map[string]model.Locality{
	"partition": model.LocalityPartition,
	"rack":      model.LocalityRack,
	"worker":    model.LocalityWorker,
}

func (r *record) locality() model.Locality {
	text := r.text("locality")
	locality, ok := localityNames[text]
	if !ok {
		r.fail("locality", "unknown locality "+strconv.Quote(text)+"; use worker, rack or partition")
	}
	return locality
}

func (r *record) service() {
	s := Service{Workspace: r.workspaceReference(), Name: ident.Service(r.name("name")), MaxQueue: r.number("max_queue", 0, 0)}
	r.unique("name", "service\x00"+string(s.Name), "service")
	if r.ok() {
		r.sheet.Services = append(r.sheet.Services, s)
	}
}

func (r *record) caller() {
	c := Caller{Name: ident.Caller(r.name("name")), Weight: r.number("weight", 1, 1), Role: Role(r.text("role"))}
	if c.Role == "" {
		c.Role = RoleCaller
	}
	switch c.Role {
	case RoleCaller, RoleOwner:
		c.Workspace = r.workspaceReference()
	case RoleOperator:
		c.Workspace = ident.Workspace(r.text("workspace"))
		if c.Workspace != OperatorWorkspace {
			r.fail("workspace", "an operator must be in the workspace "+strconv.Quote(string(OperatorWorkspace)))
		}
	default:
		r.fail("role", "must be caller, owner or operator, not "+strconv.Quote(string(c.Role)))
	}
	if text := r.text("key_hash"); text != "" {
		hash, err := apikey.ParseHash(text)
		if err != nil {
			// The text may be a plaintext key, so the message omits it.
			r.fail("key_hash", "must be a hash of the form s256:<salt>:<sum>, as printed by lacewingctl key new; never enter the key itself")
		}
		c.KeyHash = hash
	}
	r.unique("name", "caller\x00"+string(c.Workspace)+"\x00"+string(c.Name), "caller")
	if r.ok() {
		r.sheet.Callers = append(r.sheet.Callers, c)
	}
}
