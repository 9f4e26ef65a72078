package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// outputFormat is the format of results, "text" or "json".
type outputFormat string

// printer prints the result of a command to w.
type printer struct {
	format outputFormat
	w      io.Writer
}

// print writes v as JSON, or calls printText, depending on the format.
func (p printer) print(v any, printText func(w io.Writer)) error {
	if p.format != "json" {
		printText(p.w)
		return nil
	}
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printLine writes v as JSON, or a formatted line of text.
func (p printer) printLine(v any, format string, args ...any) error {
	return p.print(v, func(w io.Writer) { fmt.Fprintf(w, format+"\n", args...) })
}
