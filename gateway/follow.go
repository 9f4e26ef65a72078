package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/tracker"
)

// storeTopics maps the model's topics to their names in the store.
var storeTopics = map[tracker.Topic]string{
	tracker.Orders:  platform.OperatorTopic,
	tracker.Targets: platform.TargetTopic,
}

// readTopic executes a read of the store and sends the result to the control
// loop.
func (g *Gateway) readTopic(ctx context.Context, cmd tracker.ReadCmd) {
	topic, startedAt := storeTopics[cmd.Topic], time.Now()
	var page platform.Page
	var err error
	if cmd.Full {
		page, err = g.store.Newest(ctx, topic)
	} else {
		page, err = g.store.Read(ctx, topic, platform.Offset(cmd.From), 0)
	}
	g.storeReads.Inc(1)
	if err != nil {
		trimmed := errors.Is(err, platform.ErrTrimmed)
		g.storeReadFailures.Inc(1)
		g.log.Info().Err(err).Str("Topic", topic).Uint64("From", uint64(cmd.From)).Bool("Full", cmd.Full).Bool("Trimmed", trimmed).
			Dur("Took", time.Since(startedAt)).Msg("read of the store failed")
		g.dispatch(tracker.ReadFailedMsg{Topic: cmd.Topic, Trimmed: trimmed})
		return
	}
	level, text := zerolog.DebugLevel, "read"
	if page.Next < page.End {
		g.storeReadsPartial.Inc(1)
		level, text = zerolog.InfoLevel, "read left records behind"
	}
	g.log.WithLevel(level).Str("Topic", topic).Uint64("From", uint64(cmd.From)).Bool("Full", cmd.Full).Uint64("Next", uint64(page.Next)).
		Uint64("End", uint64(page.End)).Uint64("Era", uint64(page.Era)).Dur("Took", time.Since(startedAt)).Msg(text)
	msg := tracker.ReadMsg{Topic: cmd.Topic, Full: cmd.Full, Era: tracker.Era(page.Era), Next: tracker.Offset(page.Next), End: tracker.Offset(page.End), Asked: startedAt}
	switch {
	case !cmd.Full:
		msg.Records = g.decodeRecords(cmd.Topic, page.Records)
	case cmd.Topic == tracker.Orders:
		msg.Msgs = g.decodeOrders(page.Records)
	default:
		msg.Msgs = []tracker.Msg{g.decodeRegistrations(page.Records)}
	}
	g.dispatch(msg)
}

// decodeRecords decodes the records of an incremental read. In the targets'
// topic, a deleted or invalid record yields an UnregisterMsg, unless its key can't be the
// name of a target.
func (g *Gateway) decodeRecords(topic tracker.Topic, records []platform.Record) []tracker.ReadRecord {
	decoded := make([]tracker.ReadRecord, 0, len(records))
	for _, r := range records {
		record := tracker.ReadRecord{Offset: tracker.Offset(r.Offset)}
		if topic == tracker.Orders {
			record.Msg = g.decodeOrder(r)
		} else if registration, ok := g.decodeRegistration(r); ok {
			record.Msg = tracker.RegisterMsg{Registration: registration}
		} else if platform.IsName(r.Key) {
			record.Msg = tracker.UnregisterMsg{Name: loader.TargetName(r.Key)}
		}
		decoded = append(decoded, record)
	}
	return decoded
}

// decodeOrder decodes a record of the operators' topic. It returns nil if the
// record is invalid or doesn't concern entries.
func (g *Gateway) decodeOrder(r platform.Record) tracker.Msg {
	msg, err := platform.DecodeOrder(r)
	if err != nil {
		g.log.Error().Err(err).Str("Key", r.Key).Msg("order can't be read; keeping the last valid one")
		return nil
	}
	return msg
}

// decodeOrders decodes a full read of the operators' topic. The EvacuatedMsg
// lists every data centre that is out of service, so the others return to
// service, and the RolloutsMsg every order to move a service.
func (g *Gateway) decodeOrders(records []platform.Record) []tracker.Msg {
	evacuated := map[loader.DataCentreName]bool{}
	var rollouts tracker.RolloutsMsg
	var msgs []tracker.Msg
	for _, r := range records {
		switch msg := g.decodeOrder(r).(type) {
		case nil:
			rollouts.Incomplete = rollouts.Incomplete || platform.IsRollout(r.Key)
		case tracker.EvacuateMsg:
			if msg.Out {
				evacuated[msg.DataCentre] = true
			}
		case tracker.RolloutMsg:
			if msg.Order.ToVersion != "" {
				rollouts.Orders = append(rollouts.Orders, msg.Order)
			}
		case tracker.ConfigMsg:
			msgs = append(msgs, msg)
		}
	}
	return append(msgs, rollouts, tracker.EvacuatedMsg{DataCentres: evacuated})
}

// decodeRegistrations decodes a full read of the targets' topic.
func (g *Gateway) decodeRegistrations(records []platform.Record) tracker.Msg {
	var registrations []placer.Registration
	for _, r := range records {
		if registration, ok := g.decodeRegistration(r); ok {
			registrations = append(registrations, registration)
		}
	}
	return tracker.ListMsg{Registrations: registrations}
}

// decodeRegistration decodes a record of the targets' topic. It returns false
// for a deleted or invalid record.
func (g *Gateway) decodeRegistration(r platform.Record) (placer.Registration, bool) {
	if r.Value == nil {
		return placer.Registration{}, false
	}
	registration, err := platform.DecodeTarget(r)
	if err != nil {
		g.log.Warn().Err(err).Str("Key", r.Key).Msg("record names no target")
	}
	return registration, err == nil
}
