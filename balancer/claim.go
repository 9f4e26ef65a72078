package balancer

import (
	"context"
	"time"

	"savoryroad.dev/deduplicator"
	"savoryroad.dev/messenger"
	"savoryroad.dev/registrar"
)

// Claim asks the owner of the key for the right to dispatch a call.
func (p *peers) Claim(ctx context.Context, c deduplicator.Claim) deduplicator.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		v := p.claimOnce(ctx, c)
		refused, ok := v.(deduplicator.Refused)
		if !ok || refused.Reason != deduplicator.NotOwner && refused.Reason != deduplicator.Unreachable {
			return v
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
			return deduplicator.Refused{Reason: deduplicator.Unreachable}
		}
	}
}

func (p *peers) claimOnce(ctx context.Context, c deduplicator.Claim) deduplicator.Verdict {
	owner, ok := p.table.Load().Owner(registrar.ShareOf(c.Key))
	switch {
	case !ok:
		return deduplicator.Refused{Reason: deduplicator.Unreachable}
	case owner.Incarnation == p.self.Incarnation:
		return p.memory.Claim(c, time.Now())
	case p.client == nil:
		return deduplicator.Refused{Reason: deduplicator.Unreachable}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := p.ask(ctx, owner.Peer, messenger.Request{Claim: &c})
	if err != nil {
		return deduplicator.Refused{Reason: deduplicator.Unreachable}
	}
	return a.Claim.Verdict()
}

// Settle tells the owner of a key how a dispatch ended. It returns at once and
// goes on trying for a while.
func (p *peers) Settle(key string, a deduplicator.Attempt, r deduplicator.Result) {
	if p.settleOnce(context.Background(), key, a, r, true) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for ctx.Err() == nil && !p.settleOnce(ctx, key, a, r, false) {
			time.Sleep(settlePause)
		}
	}()
}

// settleOnce tries once; only what needs no message when local is set.
func (p *peers) settleOnce(ctx context.Context, key string, a deduplicator.Attempt, r deduplicator.Result, local bool) bool {
	owner, ok := p.table.Load().Owner(registrar.ShareOf(key))
	if ok && owner.Incarnation == p.self.Incarnation {
		return p.memory.Settle(key, a, r)
	}
	if !ok || local || p.client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := p.ask(ctx, owner.Peer, messenger.Request{Settle: &messenger.Settle{Key: key, Attempt: a, Result: r}})
	return err == nil && answer.Done
}
