package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Problem is one error in a sheet.
type Problem struct {
	// Line counts from 1. Zero means that the problem has no line, as for a removed
	// record.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column int `json:"column"`
	// Field is the name of the column, or empty.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	kind    errkind.Kind
}

// String formats the problem as one line.
func (p Problem) String() string {
	text := p.Message
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Line == 0 {
		return text
	}
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, text)
}

// Problems is the list of all errors found in a sheet. Err converts it to an
// error.
type Problems []Problem

// Err returns nil or an error that lists all problems. Its kind is
// InvalidArgument when any problem has that kind, and otherwise the kind of the
// first problem: DoesNotFit or Conflict.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	kind := p[0].kind
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		if problem.kind == errkind.InvalidArgument {
			kind = errkind.InvalidArgument
		}
		lines = append(lines, problem.String())
	}
	return errkind.Wrap(kind, &listError{list: p, text: strings.Join(lines, "\n")}, "the sheet was refused")
}

type listError struct {
	list Problems
	text string
}

func (e *listError) Error() string { return e.text }

// ProblemsOf returns the problems listed by an error of this package.
func ProblemsOf(err error) Problems {
	var list *listError
	if errors.As(err, &list) {
		return list.list
	}
	return nil
}
