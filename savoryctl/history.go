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

// Run prints the accepted changes, oldest first, as far back as the published
// state retains them.
func (c *historyCmd) Run(ctx context.Context, p printer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	_, r, err := c.load(ctx)
	if err != nil {
		return err
	}
	return p.print(r.State.Recent, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		defer tw.Flush()
		fmt.Fprintln(tw, "REVISION\tTIME\tAUTHOR\tCHANGE\tNOTE")
		for _, a := range r.State.Recent {
			fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\n", a.Revision, a.Time.UTC().Format(time.RFC3339), a.Author, a.ID, a.Note)
		}
	})
}
