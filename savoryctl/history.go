package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// historyCmd lists the accepted changes.
type historyCmd struct {
	logFlags
}

// Run prints the changes that the log or its snapshots still know of.
func (c *historyCmd) Run(ctx context.Context, p printer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	_, r, err := c.load(ctx)
	if err != nil {
		return err
	}
	return p.print(r.State.Recent, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		defer t.Flush()
		fmt.Fprintln(t, "REVISION\tTIME\tAUTHOR\tCHANGE\tNOTE")
		for _, a := range r.State.Recent {
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", a.Revision, a.Time.UTC().Format(time.RFC3339), a.Author, a.ID, a.Note)
		}
	})
}
