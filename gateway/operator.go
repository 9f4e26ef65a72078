package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"savoryroad.dev/admitter"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/promoter"
	"savoryroad.dev/router"
	"savoryroad.dev/tracker"
)

// dumpMsg requests a dump of the entry's state from the control loop.
type dumpMsg struct {
	tracker.Msg
	reply chan<- Dump
}

// Dump is the state of an entry at one moment, encoded as JSON under the names
// of its fields.
type Dump struct {
	Entry      loader.EntryName
	DataCentre loader.DataCentreName
	At         time.Time
	Ready      bool
	Stopping   bool
	InFlight   int64
	Version    router.Version
	Out        map[loader.DataCentreName]bool
	// Share is the entry's share of the fleet, from 0 to 1.
	Share float64
	Peers int
	// Views holds the entry's position in each topic of the store, by topic name.
	Views map[string]TopicView
	// Services holds the state of the targets that get requests, by service.
	Services map[loader.ServiceName][]placer.Dumped
	// QuotaLeft holds the requests that the entry's own parts of the quotas of organisations
	// and its loans allow now; -1 where it has none.
	QuotaLeft map[loader.OrganisationName]float64
	// Rollouts holds the state of the moves to new versions, by service.
	Rollouts map[loader.ServiceName]promoter.Dumped `json:",omitempty"`
	// Levels holds the admission levels, by service.
	Levels map[loader.ServiceName]admitter.LevelState
}

// TopicView is an entry's position in a topic of the store.
type TopicView struct {
	// Era is the era of the store to which Next belongs.
	Era tracker.Era
	// Next is the offset of the first record that the entry has not applied.
	Next tracker.Offset
	// Age is the time since the store last confirmed that Next is current.
	Age string
	// Mine is set while this entry, not a peer, polls the topic for the fleet.
	Mine bool
}

// dump returns the entry's state. It must run on the control loop.
func (g *Gateway) dump(now time.Time) Dump {
	d := Dump{
		Entry: g.platform.Name, DataCentre: g.platform.DataCentre, At: now,
		Ready: g.ready.Load(), Stopping: g.stopping.Load(), InFlight: g.inFlight.Load(),
		Version: g.model.Config.Version, Out: g.model.Out, Share: g.share.Part(),
		Peers: len(g.gossiper.Peers()), Views: map[string]TopicView{}, Services: map[loader.ServiceName][]placer.Dumped{},
		Levels: map[loader.ServiceName]admitter.LevelState{},
	}
	d.QuotaLeft = g.allotter.Left(now)
	for topic, name := range storeTopics {
		v := g.model.Views[topic]
		d.Views[name] = TopicView{Era: v.Era, Next: v.Next, Age: now.Sub(v.At).String(), Mine: v.Mine}
	}
	for name, s := range g.snapshot.Load().services {
		d.Services[name] = s.placer.Dump(now)
		if s.level != nil {
			d.Levels[name] = s.level.State(now)
		}
	}
	if g.promotion != nil {
		d.Rollouts = g.promotion.model.Dump(now)
	}
	return d
}

// operatorHandler serves metrics at /metrics and state dumps at /dump.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.recorder.Gauge("in_flight").Update(g.inFlight.Load())
		used := g.guard.Usage()
		g.recorder.Gauge("caller_connections").Update(int64(used.Connections))
		g.recorder.Gauge("caller_bytes").Update(used.Bytes)
		g.recorder.Gauge("peers").Update(int64(len(g.gossiper.Peers())))
		g.recorder.Gauge("datagrams_unsent").Update(g.gossiper.Unsent())
		if err := g.recorder.Write(w); err != nil {
			g.log.Error().Err(err).Msg("can't write metrics")
		}
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan Dump, 1)
		g.dispatch(dumpMsg{reply: reply})
		select {
		case d := <-reply:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(d) // the client may have disconnected
		case <-r.Context().Done():
		}
	})
	return mux
}
