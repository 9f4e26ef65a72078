package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/tracker"
)

// storeTopics are the names of the topics in the store.
var storeTopics = map[tracker.Topic]string{
	tracker.Orders:  platform.OperatorTopic,
	tracker.Targets: platform.TargetTopic,
}

// read reads a topic of the store and tells the control goroutine.
func (g *Gateway) read(ctx context.Context, cmd tracker.ReadCmd) {
	topic, asked := storeTopics[cmd.Topic], time.Now()
	var page platform.Page
	var err error
	if cmd.Full {
		page, err = g.store.Newest(ctx, topic)
	} else {
		page, err = g.store.Read(ctx, topic, platform.Offset(cmd.From), 0)
	}
	g.reads.Inc(1)
	if err != nil {
		trimmed := errors.Is(err, platform.ErrTrimmed)
		g.log.Debug().Err(err).Str("Topic", topic).Uint64("From", uint64(cmd.From)).Bool("Trimmed", trimmed).Msg("read of the store failed")
		g.dispatch(tracker.ReadFailedMsg{Topic: cmd.Topic, Trimmed: trimmed})
		return
	}
	g.log.Debug().Str("Topic", topic).Uint64("From", uint64(cmd.From)).Bool("Full", cmd.Full).Uint64("Next", uint64(page.Next)).Msg("read")
	msg := tracker.ReadMsg{Topic: cmd.Topic, Full: cmd.Full, Next: tracker.Offset(page.Next), Asked: asked}
	switch {
	case !cmd.Full:
		msg.Records = g.decode(cmd.Topic, page.Records)
	case cmd.Topic == tracker.Orders:
		msg.Msgs = g.decodeAllOrders(page.Records)
	default:
		msg.Msgs = []tracker.Msg{g.decodeAllTargets(page.Records)}
	}
	g.dispatch(msg)
}

// decode decodes the records of a read.
func (g *Gateway) decode(topic tracker.Topic, records []platform.Record) []tracker.ReadRecord {
	out := make([]tracker.ReadRecord, 0, len(records))
	for _, r := range records {
		rec := tracker.ReadRecord{Offset: tracker.Offset(r.Offset)}
		if topic == tracker.Orders {
			rec.Msg = g.decodeOrder(r)
		} else if registration, ok := g.registration(r); ok {
			rec.Msg = tracker.RegisterMsg{Registration: registration}
		} else {
			rec.Msg = tracker.UnregisterMsg{Name: loader.TargetName(r.Key)}
		}
		out = append(out, rec)
	}
	return out
}

// decodeOrder decodes an order; it returns nil for one that can't be read.
func (g *Gateway) decodeOrder(r platform.Record) tracker.Msg {
	msg, err := platform.DecodeOrder(r)
	if err != nil {
		g.log.Error().Err(err).Str("Key", r.Key).Msg("order can't be read; the last good one stays in force")
		return nil
	}
	return msg
}

// decodeAllOrders decodes all orders there are. Data centres that are not
// among them are back in.
func (g *Gateway) decodeAllOrders(records []platform.Record) []tracker.Msg {
	out := map[loader.DataCentreName]bool{}
	var msgs []tracker.Msg
	for _, r := range records {
		switch msg := g.decodeOrder(r).(type) {
		case tracker.EvacuateMsg:
			if msg.Out {
				out[msg.DataCentre] = true
			}
		case tracker.ConfigMsg:
			msgs = append(msgs, msg)
		}
	}
	return append(msgs, tracker.EvacuatedMsg{DataCentres: out})
}

// decodeAllTargets decodes all registrations there are.
func (g *Gateway) decodeAllTargets(records []platform.Record) tracker.Msg {
	var all []placer.Registration
	for _, r := range records {
		if registration, ok := g.registration(r); ok {
			all = append(all, registration)
		}
	}
	return tracker.ListMsg{Registrations: all}
}

// registration decodes a target's record, if it holds a target.
func (g *Gateway) registration(r platform.Record) (placer.Registration, bool) {
	if r.Value == nil {
		return placer.Registration{}, false
	}
	registration, err := platform.DecodeTarget(r)
	if err != nil {
		g.log.Warn().Err(err).Str("Key", r.Key).Msg("record names no target")
	}
	return registration, err == nil
}
