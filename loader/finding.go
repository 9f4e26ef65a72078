package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is a problem in a document, with its position.
type Finding struct {
	// File is the name of the document, as passed to Parse.
	File string
	// Line and Column count from 1; both are 0 when the position is unknown.
	Line, Column int
	// Path is the dotted path of the value, such as "Services.Sales.Routes".
	Path string
	// Problem describes the problem.
	Problem string
	// Want describes what is accepted instead; it may be empty.
	Want string
}

// String formats the finding as "file:line:column: path: problem; want …".
func (f Finding) String() string {
	s := fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Problem)
	if f.Want != "" {
		s += "; want " + f.Want
	}
	return s
}

// Findings holds all findings of one parse or render, in order of file, line and
// column. It implements error.
type Findings []Finding

// Error lists the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// sorted sorts fs in place by file, line and column, and returns it.
func (fs Findings) sorted() Findings {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
		)
	})
	return fs
}
