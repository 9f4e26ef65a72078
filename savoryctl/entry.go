package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/balancer"
	"savoryroad.dev/loader"
)

// entryTimeout bounds one question to an entry.
const entryTimeout = 5 * time.Second

// statusCmd asks entries what is in force.
type statusCmd struct {
	Entries []netip.AddrPort `required:"" env:"SAVORYROAD_ENTRIES" help:"Operator endpoints, comma separated."`
}

// entryStatus is one entry's answer, or why there is none.
type entryStatus struct {
	Endpoint netip.AddrPort
	Status   *balancer.Status `json:",omitempty"`
	Error    string           `json:",omitempty"`
}

// Run prints one line an entry. It fails when an entry gave no answer.
func (c *statusCmd) Run(ctx context.Context, p printer) error {
	all := make([]entryStatus, len(c.Entries))
	var wg sync.WaitGroup
	for i, endpoint := range c.Entries {
		wg.Go(func() { all[i] = askStatus(ctx, endpoint) })
	}
	wg.Wait()
	if err := p.print(all, func(w io.Writer) { printStatus(w, all) }); err != nil {
		return err
	}
	silent := 0
	for _, e := range all {
		if e.Status == nil {
			silent++
		}
	}
	if silent > 0 {
		return errors.Newf("%d of %d entries gave no answer", silent, len(all))
	}
	return nil
}

func askStatus(ctx context.Context, endpoint netip.AddrPort) entryStatus {
	e := entryStatus{Endpoint: endpoint}
	var s balancer.Status
	if err := ask(ctx, endpoint, "/status", &s); err != nil {
		e.Error = err.Error()
		return e
	}
	e.Status = &s
	return e
}

func printStatus(w io.Writer, all []entryStatus) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "ENTRY\tDATA CENTRE\tPHASE\tREVISION\tNEWEST\tSINCE\tLOG\tIN FLIGHT\tFINDINGS")
	for _, e := range all {
		if e.Status == nil {
			fmt.Fprintf(t, "%s\t-\t%s\n", e.Endpoint, e.Error)
			continue
		}
		s := e.Status
		link := "up"
		if !s.LogUp {
			link = "down"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d\n", s.Entry, s.DataCentre, s.Phase,
			s.Revision, s.Newest, s.InForceSince.UTC().Format(time.RFC3339), link, s.InFlight, len(s.Findings))
	}
}

// dumpCmd prints the whole state of an entry.
type dumpCmd struct {
	Entry netip.AddrPort `required:"" help:"Operator endpoint of the entry."`
}

// Run prints the state as JSON.
func (c *dumpCmd) Run(ctx context.Context, w io.Writer) error {
	var state json.RawMessage
	if err := ask(ctx, c.Entry, "/dump", &state); err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(state)
}

// ask reads JSON from an entry's operator endpoint.
func ask(ctx context.Context, endpoint netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.String()+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("entry answered %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// checkDataCentre fails when the published base has no such data centre.
func (f logFlags) checkDataCentre(ctx context.Context, dc loader.DataCentreName) error {
	_, r, err := f.load(ctx)
	if err != nil {
		return err
	}
	cfg, findings := r.State.Render("")
	if err := findings.Err(); err != nil {
		return err
	}
	if _, ok := cfg.DataCentres[dc]; !ok {
		return errors.Newf("the published base has no data centre %q", dc)
	}
	return nil
}
