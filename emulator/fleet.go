package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"savoryroad.dev/balancer"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 5 * time.Millisecond

// loopback is an address with a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// TargetKey names one target of a configuration.
type TargetKey struct {
	Service loader.ServiceName
	Target  loader.TargetName
}

// Fleet is a whole system on loopback: a log service, backend servers for
// every target of a configuration, and entries, which run the real code.
type Fleet struct {
	// Log is the log service; LogURL is where it is served.
	Log    *Log
	LogURL string
	// VMs is the platform's list of VMs, and VMsURL where it is served.
	VMs    *VMs
	VMsURL string
	// Entries are the running entries, in order of their start.
	Entries []*FleetEntry
	// Backends holds the backend servers.
	Backends map[TargetKey]*Backend
	// Base is the base document as it was published, in canonical JSON.
	Base []byte
	// Published is how the configuration was accepted.
	Published publisher.Accepted

	// mu guards Entries against Running.
	mu      sync.Mutex
	opts    FleetOptions
	servers []*Server
	// authority signs the entries' keys; dir holds their files.
	authority *Authority
	dir       string
	// started counts the entries ever started.
	started int
	// addresses holds where the backend servers listen.
	addresses map[TargetKey]string
}

// FleetEntry is one running entry.
type FleetEntry struct {
	*balancer.Balancer
	// Name is the entry's name.
	Name loader.EntryName
	stop context.CancelFunc
	done chan error
}

// FleetOptions describe a fleet.
type FleetOptions struct {
	// Base is the base document; its targets' addresses are replaced.
	Base loader.Document
	// Entries is the number of entries.
	Entries int
	// Mode is how the backend servers behave at first.
	Mode BackendMode
	// ColdAnswers is the number of answers in which a backend server is cold
	// at first; 0 means that it is warm from the start.
	ColdAnswers int
	// UnreadyDelay is how long a stopping entry still takes calls.
	UnreadyDelay time.Duration
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Seed draws everything random.
	Seed uint64
	// Logger receives the entries' lines.
	Logger zerolog.Logger
}

// NewFleet starts a fleet and returns once its entries are ready. Close ends
// it.
func NewFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	f := &Fleet{
		Log:       NewLog(o.Retention, o.Seed),
		VMs:       NewVMs(),
		Backends:  map[TargetKey]*Backend{},
		addresses: map[TargetKey]string{},
		opts:      o,
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	s, err := f.serve(f.Log)
	if err != nil {
		return err
	}
	f.LogURL = "http://" + s.Addr.String()
	if s, err = f.serve(f.VMs); err != nil {
		return err
	}
	f.VMsURL = "http://" + s.Addr.String()
	if f.dir, err = os.MkdirTemp("", "savoryroad"); err != nil {
		return errors.Wrap(err, "fleet")
	}
	if f.authority, err = NewAuthority(f.dir); err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.publishBase(ctx); err != nil {
		return err
	}
	for range f.opts.Entries {
		if _, err := f.AddEntry(ctx); err != nil {
			return err
		}
	}
	return f.waitShared(ctx)
}

// waitShared waits until every share is owned and no entry is without one.
func (f *Fleet) waitShared(ctx context.Context) error {
	return poll(ctx, "shares are owned", func() bool {
		for _, e := range f.Entries {
			if !e.OwnsShares() || !e.SharesComplete() {
				return false
			}
		}
		return true
	})
}

// poll waits for a condition, which is looked at every few milliseconds.
func poll(ctx context.Context, what string, cond func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting until %s", what)
		}
	}
	return nil
}

func (f *Fleet) serve(h http.Handler) (*Server, error) {
	s, err := Serve(loopback.String(), h)
	if err == nil {
		f.servers = append(f.servers, s)
	}
	return s, err
}

// startBackends starts a backend server for each target and puts its address
// into the base.
func (f *Fleet) startBackends() error {
	cfg, findings := loader.Render(f.opts.Base, loader.Document{})
	if err := findings.Err(); err != nil {
		return err
	}
	services := map[loader.ServiceName]any{}
	for name, service := range cfg.Services {
		targets := map[loader.TargetName]any{}
		for targetName, t := range service.Targets {
			b := NewBackend(t.Slots, f.opts.Mode, f.opts.Seed+uint64(len(f.Backends)))
			if f.opts.ColdAnswers > 0 {
				b.Restart(t.ColdLimit, f.opts.ColdAnswers)
			}
			s, err := f.serve(b)
			if err != nil {
				return err
			}
			key := TargetKey{name, targetName}
			f.Backends[key] = b
			f.addresses[key] = s.Addr.String()
			targets[targetName] = map[string]string{"Address": s.Addr.String()}
		}
		services[name] = map[string]any{"Targets": targets}
	}
	return f.patchBase(map[string]any{
		"Entries":   fmt.Sprint(f.opts.Entries),
		"Retention": f.opts.Retention.String(),
		"Services":  services,
	})
}

func (f *Fleet) patchBase(patch map[string]any) error {
	base, err := f.opts.Base.JSON()
	if err != nil {
		return err
	}
	p, err := json.Marshal(patch)
	if err != nil {
		return err
	}
	s, err := publisher.State{Base: base}.Apply(publisher.Change{Base: p})
	f.Base = s.Base
	return err
}

func (f *Fleet) publishBase(ctx context.Context) error {
	change, err := publisher.State{}.Diff(f.Base, nil)
	if err != nil {
		return err
	}
	change.ID = "first"
	change.Author = "fleet"
	return f.Publish(ctx, change)
}

// Publish publishes a change, and fails unless it is accepted.
func (f *Fleet) Publish(ctx context.Context, c publisher.Change) error {
	r, _, err := publisher.Load(ctx, f.Log)
	if err != nil {
		return err
	}
	c.Expected = r.State.Revision
	switch res := publisher.Publish(ctx, f.Log, r, c).(type) {
	case publisher.Published:
		f.Published = res.Accepted
		return nil
	default:
		return errors.Newf("publish: %+v", res)
	}
}

// AddEntry starts one more entry and waits until it is ready.
func (f *Fleet) AddEntry(ctx context.Context) (*FleetEntry, error) {
	f.started++
	name := loader.EntryName(fmt.Sprintf("entry-%02d", f.started))
	s, err := f.settings(name)
	if err != nil {
		return nil, err
	}
	b, err := balancer.New(s,
		balancer.WithLogger(f.opts.Logger),
		balancer.WithSeed(f.opts.Seed+uint64(f.started)),
	)
	if err != nil {
		return nil, err
	}
	f.VMs.Add(name)
	runCtx, stop := context.WithCancel(context.Background())
	e := &FleetEntry{Balancer: b, Name: name, stop: stop, done: make(chan error, 1)}
	f.setEntries(append(slices.Clone(f.Entries), e))
	go func() { e.done <- b.Run(runCtx) }()
	return e, poll(ctx, string(name)+" is ready", e.Ready)
}

// settings are those of an entry with that name.
func (f *Fleet) settings(name loader.EntryName) (loader.Settings, error) {
	cert, key, err := f.authority.Sign(string(name), time.Hour)
	if err != nil {
		return loader.Settings{}, err
	}
	s := loader.Settings{
		Name:          name,
		DataCentre:    "Stand-in",
		Listen:        loopback,
		Operator:      loopback,
		Log:           loader.Address(f.LogURL),
		VMs:           loader.Address(f.VMsURL),
		UnreadyDelay:  f.opts.UnreadyDelay,
		DrainTimeout:  time.Minute,
		HeaderTimeout: 10 * time.Second,
		StallTimeout:  time.Minute,
		IdleTimeout:   time.Minute,
		Peers: loader.Peers{
			Listen:   loopback,
			CertFile: cert,
			KeyFile:  key,
			CAFile:   f.authority.CAFile(),
		},
	}
	for _, e := range f.Entries {
		s.Peers.Seeds = append(s.Peers.Seeds, e.PeersAddr())
	}
	return s, nil
}

// StopEntry ends an entry gracefully; its VM vanishes from the list.
func (f *Fleet) StopEntry(e *FleetEntry) error {
	err := e.Stop()
	f.forget(e)
	return err
}

// KillEntry ends an entry at once; its VM vanishes from the list.
func (f *Fleet) KillEntry(e *FleetEntry) {
	e.Abort()
	<-e.done
	f.forget(e)
}

func (f *Fleet) forget(e *FleetEntry) {
	f.VMs.Remove(e.Name)
	f.setEntries(slices.DeleteFunc(slices.Clone(f.Entries), func(o *FleetEntry) bool { return o == e }))
}

func (f *Fleet) setEntries(entries []*FleetEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Entries = entries
}

// Running lists the entries; it may be called while others start and stop some.
func (f *Fleet) Running() []*FleetEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Entries
}

// Stop ends the entry gracefully and waits for it.
func (e *FleetEntry) Stop() error {
	e.stop()
	return <-e.done
}

// BackendAddress returns where a backend server listens.
func (f *Fleet) BackendAddress(k TargetKey) string { return f.addresses[k] }

// Addresses lists where callers reach the entries.
func (f *Fleet) Addresses() []string {
	var all []string
	for _, e := range f.Entries {
		all = append(all, e.CallersAddr().String())
	}
	return all
}

// Close ends everything at once; what entries do when they stop gracefully is
// up to Stop.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Abort()
	}
	for _, e := range f.Entries {
		<-e.done
	}
	for _, s := range f.servers {
		s.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
