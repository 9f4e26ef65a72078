package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// format is how results are printed: "text" or "json".
type format string

// printer prints a command's result.
type printer struct {
	format format
	w      io.Writer
}

// print writes v as JSON, or the text made by the function.
func (p printer) print(v any, text func(w io.Writer)) error {
	if p.format != "json" {
		text(p.w)
		return nil
	}
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// line prints one line of text, or v as JSON.
func (p printer) line(v any, layout string, args ...any) error {
	return p.print(v, func(w io.Writer) { fmt.Fprintf(w, layout+"\n", args...) })
}
