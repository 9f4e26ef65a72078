package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one thing that is wrong with a document, and where.
type Finding struct {
	// File is the name the document was parsed under.
	File string
	// Line and Column count from 1; both are 0 when the place is unknown.
	Line, Column int
	// Path is the place inside the document, such as "Services.Sales.Routes".
	Path string
	// Problem says what is wrong.
	Problem string
	// Want says what would be right.
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

// Findings is every finding of one load, in the order of their places.
type Findings []Finding

// Error lists the findings, one a line.
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

// sorted orders the findings by file, line and column.
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
