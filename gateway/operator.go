package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/router"
	"savoryroad.dev/tracker"
)

// dumpMsg asks the control goroutine for the entry's state.
type dumpMsg struct {
	tracker.Msg
	answer chan<- Dump
}

// Dump is the state of an entry at one moment.
type Dump struct {
	Entry      loader.EntryName
	DataCentre loader.DataCentreName
	At         time.Time
	Ready      bool
	Stopping   bool
	InFlight   int64
	Version    router.Version
	Out        map[loader.DataCentreName]bool
	// Share is the entry's part of the fleet, from 0 to 1.
	Share float64
	Peers int
	// Views tells how far each topic of the store is known.
	Views map[string]DumpedView
	// Services holds what is known of the targets that get requests.
	Services map[loader.ServiceName][]placer.Dumped
}

// DumpedView is how far a topic of the store is known.
type DumpedView struct {
	Next tracker.Offset
	Age  string
	Mine bool
}

// dump collects the state; it runs on the control goroutine.
func (g *Gateway) dump(now time.Time) Dump {
	d := Dump{
		Entry: g.platform.Name, DataCentre: g.platform.DataCentre, At: now,
		Ready: g.ready.Load(), Stopping: g.stopping.Load(), InFlight: g.inFlight.Load(),
		Version: g.model.Config.Version, Out: g.model.Out, Share: g.share.Part(),
		Peers: len(g.courier.Peers()), Views: map[string]DumpedView{}, Services: map[loader.ServiceName][]placer.Dumped{},
	}
	for topic, name := range storeTopics {
		v := g.model.Views[topic]
		d.Views[name] = DumpedView{Next: v.Next, Age: now.Sub(v.At).String(), Mine: v.Mine}
	}
	for name, s := range g.snapshot.Load().services {
		d.Services[name] = s.placer.Dump(now)
	}
	return d
}

// operatorHandler serves metrics and state dumps.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.recorder.Gauge("in_flight").Update(g.inFlight.Load())
		g.recorder.Gauge("peers").Update(int64(len(g.courier.Peers())))
		g.recorder.Gauge("datagrams_unsent").Update(g.courier.Unsent())
		if err := g.recorder.Write(w); err != nil {
			g.log.Error().Err(err).Msg("metrics")
		}
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		answer := make(chan Dump, 1)
		g.dispatch(dumpMsg{answer: answer})
		select {
		case d := <-answer:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(d) // an operator who is gone needs no answer
		case <-r.Context().Done():
		}
	})
	return mux
}
