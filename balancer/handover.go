package balancer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/appender"
	"savoryroad.dev/controller"
	"savoryroad.dev/messenger"
	"savoryroad.dev/publisher"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

// setLeaving sets the shares that are being given away.
func (p *peers) setLeaving(shares []registrar.Share) {
	p.leaving.Lock()
	p.leaving.shares = shares
	p.leaving.Unlock()
	p.limitTraffic()
}

// appendRecord appends a record about shares, and tells the loop.
func (p *peers) appendRecord(r registrar.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	err := p.append(ctx, r)
	p.b.loop.Send(ctx, controller.FleetDoneMsg{Err: err})
}

// append appends a record. After errUncertain it may be in the log or get
// there yet; after any other error it is not and never will be.
func (p *peers) append(ctx context.Context, r registrar.Record) error {
	data, err := json.Marshal(publisher.Entry{Fleet: &r})
	if err != nil {
		return errors.Wrap(err, "record")
	}
	switch o := p.b.log.Append(ctx, publisher.Stream, data).(type) {
	case appender.Refused:
		return o.Reason
	case appender.Unknown:
		return errors.Mark(o.Cause, errUncertain)
	}
	return nil
}

// handOver gives shares to a peer. From the moment that the peer has their
// memory until the log says who owns them, nobody grants keys of theirs.
func (p *peers) handOver(t registrar.Transfer) {
	err := p.tryHandOver(t)
	p.b.loop.Send(context.Background(), controller.FleetDoneMsg{Err: err})
}

// tryHandOver fails without consequences until the record is appended; after
// that it goes on until the outcome is known.
func (p *peers) tryHandOver(t registrar.Transfer) error {
	if p.client == nil {
		return errors.New("entry has no peers")
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	// A log that can't be read would leave the shares in nobody's hands.
	if _, err := p.b.log.Read(ctx, publisher.Stream, p.b.loop.Model().Reader.Next, 0); err != nil {
		return err
	}
	levels := p.b.forwarder.HomeLevels()
	p.setLeaving(t.Shares)
	err := p.giveAway(ctx, t, levels)
	if err != nil && !errors.Is(err, errUncertain) {
		p.memory.Thaw(t.Shares)
		p.setLeaving(nil)
		return err
	}
	err = p.settleTransfer(t)
	p.setLeaving(nil)
	return err
}

// giveAway waits until this entry's calls fit in what it keeps, sends the
// memory of the shares, and appends the record.
func (p *peers) giveAway(ctx context.Context, t registrar.Transfer, levels []warmer.News) error {
	for end := time.Now().Add(ownTimeout); !p.b.forwarder.Settled(); time.Sleep(releasePoll) {
		if time.Now().After(end) {
			return errors.New("calls at a cold target take too long")
		}
	}
	keys := p.memory.Freeze(t.Shares)
	h := &messenger.Handover{Shares: t.Shares, Keys: keys, Levels: levels}
	a, err := p.ask(ctx, t.To.Peer, messenger.Request{Handover: h})
	if err != nil {
		return err
	}
	if !a.Done {
		return errors.New("peer did not take the memory")
	}
	return p.append(ctx, registrar.Record{Transfer: &t})
}

// settleTransfer waits until the log says who owns the shares, and appends the
// record again, which is harmless, while it does not. An entry that is asked
// to end at once gives up.
func (p *peers) settleTransfer(t registrar.Transfer) error {
	again := time.NewTicker(ownTimeout)
	defer again.Stop()
	look := time.NewTicker(releasePoll)
	defer look.Stop()
	for {
		if o, _ := p.table.Load().Owner(t.Shares[0]); o.Incarnation != p.self.Incarnation {
			return nil
		}
		select {
		case <-look.C:
		case <-again.C:
			ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
			_ = p.append(ctx, registrar.Record{Transfer: &t})
			cancel()
		case <-p.b.released:
			return errUncertain
		}
	}
}
