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
	"savoryroad.dev/validator"
)

// entryTimeout limits a request to the operator endpoint of an entry.
const entryTimeout = 5 * time.Second

// entryClient sends requests to the operator endpoints of entries.
var entryClient = &http.Client{Transport: validator.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// statusCmd shows the status of entries, such as their revision in force.
type statusCmd struct {
	Entries []netip.AddrPort `required:"" env:"SAVORYROAD_ENTRIES" help:"Operator endpoints, comma separated."`
}

// entryStatus is the status of an entry, or the error of the request for it.
type entryStatus struct {
	Endpoint netip.AddrPort
	Status   *balancer.Status `json:",omitempty"`
	Error    string           `json:",omitempty"`
}

// Run prints one line per entry. It returns an error if the status of any entry
// is missing.
func (c *statusCmd) Run(ctx context.Context, p printer) error {
	statuses := make([]entryStatus, len(c.Entries))
	var wg sync.WaitGroup
	for i, endpoint := range c.Entries {
		wg.Go(func() { statuses[i] = fetchStatus(ctx, endpoint) })
	}
	wg.Wait()
	if err := p.print(statuses, func(w io.Writer) { printStatus(w, statuses) }); err != nil {
		return err
	}
	failed := 0
	for _, e := range statuses {
		if e.Status == nil {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d entries did not return their status", failed, len(statuses))
	}
	return nil
}

func fetchStatus(ctx context.Context, endpoint netip.AddrPort) entryStatus {
	e := entryStatus{Endpoint: endpoint}
	var s balancer.Status
	if err := getJSON(ctx, endpoint, "/status", &s); err != nil {
		e.Error = err.Error()
		return e
	}
	e.Status = &s
	return e
}

func printStatus(w io.Writer, statuses []entryStatus) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	fmt.Fprintln(tw, "ENTRY\tDATA CENTRE\tPHASE\tREVISION\tNEWEST\tSINCE\tLOG\tIN FLIGHT\tFINDINGS")
	for _, e := range statuses {
		if e.Status == nil {
			fmt.Fprintf(tw, "%s\t-\t%s\n", e.Endpoint, e.Error)
			continue
		}
		s := e.Status
		logState := "up"
		if !s.LogUp {
			logState = "down"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d\n", s.Entry, s.DataCentre, s.Phase,
			s.Revision, s.Newest, s.InForceSince.UTC().Format(time.RFC3339), logState, s.InFlight, len(s.Findings))
	}
}

// dumpCmd prints the whole state of an entry.
type dumpCmd struct {
	Entry netip.AddrPort `required:"" help:"Operator endpoint of the entry."`
}

// Run prints the state as JSON.
func (c *dumpCmd) Run(ctx context.Context, w io.Writer) error {
	var state json.RawMessage
	if err := getJSON(ctx, c.Entry, "/dump", &state); err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(state)
}

// getJSON requests a path of an entry's operator endpoint and decodes the
// response into v.
func getJSON(ctx context.Context, endpoint netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.String()+path, nil)
	if err != nil {
		return err
	}
	resp, err := entryClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "request to entry")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("entry returned status %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// checkDataCentre returns an error if the published base doesn't define dc.
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
