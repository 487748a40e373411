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
	// Line counts from 1; zero means that the problem has no line, such as a
	// record that was removed.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column int `json:"column"`
	// Field names the column of the header, or is empty.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	kind    errkind.Kind
}

// String returns the problem in one readable line.
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

// Problems is the list of all errors found in a sheet. It is an error when it
// is not empty; use Err to convert it.
type Problems []Problem

// Err returns nil or an error that lists all problems. Its kind is
// InvalidArgument when the text itself is wrong and DoesNotFit otherwise.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	kind := p[0].kind
	lines := make([]string, 0, len(p))
	for _, one := range p {
		if one.kind == errkind.InvalidArgument {
			kind = errkind.InvalidArgument
		}
		lines = append(lines, one.String())
	}
	return errkind.Wrap(kind, &listError{list: p, text: strings.Join(lines, "\n")}, "the sheet was refused")
}

type listError struct {
	list Problems
	text string
}

func (e *listError) Error() string { return e.text }

// ProblemsOf returns the problems that an error of this package lists.
func ProblemsOf(err error) Problems {
	var list *listError
	if errors.As(err, &list) {
		return list.list
	}
	return nil
}
