package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"savoryroad.dev/gossiper"
	"savoryroad.dev/isolator"
	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/platform"
	"savoryroad.dev/recorder"
	"savoryroad.dev/transporter"
)

const (
	// crashTopic is the topic of the store that holds the cases of blocked requests, by
	// fingerprint, for entries that start after all others have stopped.
	crashTopic = "keyed.crashes"
	// crashHomes is the number of entries that the crashes of a request are told to.
	crashHomes = 3
	// crashAskInterval and crashAskRounds are how often a starting entry asks a peer
	// for the cases of blocked requests before it reads them from the store.
	crashAskInterval = 400 * time.Millisecond
	crashAskRounds   = 3
	// crashReadJitter is the time for each peer by which an entry delays that read at
	// random: the first one to read tells the others.
	crashReadJitter = 17 * time.Millisecond
	// maxCasesPerReply is the number of cases that an entry tells one that asks.
	maxCasesPerReply = 120
)

// refuseBlocked returns a refusal if the call is one of those that crash targets.
func (c *call) refuseBlocked() (refused, bool) {
	i := c.g.isolator
	if !i.HasSuspects() {
		return refused{}, false
	}
	now := time.Now()
	for _, f := range c.fingerprints() {
		if left, blocked := i.Blocked(f, now); blocked {
			return refused{reason: "targets ended while they ran the request", retryAfter: left}, true
		}
	}
	return refused{}, false
}

// noteOutcome tells the isolator how an attempt has ended at its target.
func (c *call) noteOutcome(r attemptResult) {
	switch {
	case r.success() && r.answer.Rest == nil:
		c.noteAnswered(r.answer.Status)
	case errors.Is(r.err, transporter.ErrNoResponse):
		c.noteUnanswered(r.target, r.err)
	}
}

// noteAnswered tells the isolator that a target has answered the request completely.
func (c *call) noteAnswered(status int) {
	if status >= http.StatusMultipleChoices {
		return
	}
	for _, f := range c.fingerprints() {
		c.g.isolator.Answered(f, time.Now())
	}
}

// noteUnanswered tells the isolator that a target has not answered the request, for a
// reason. If the target broke off the connection, it is checked, for which the call waits
// for a short time: one that has ended is then known before the call is sent again.
func (c *call) noteUnanswered(t *placer.Target, reason error) {
	at := time.Now()
	if !isBrokenConnection(reason) {
		c.note(t, at, reason, endNotChecked)
		return
	}
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		c.note(t, at, reason, c.g.checkEnd(c.service, t))
	}()
	timer := time.NewTimer(endCheckWait)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	}
}

// note tells the isolator and the log that a target has not answered the request since a
// time, and what a check of it has shown.
func (c *call) note(t *placer.Target, at time.Time, reason error, v endVerdict) {
	g, target := c.g, incarnation(t)
	g.recorder.Counter("unanswered_attempts_total", recorder.Label{Name: "target", Value: v.String()}).Inc(1)
	level := zerolog.InfoLevel
	if v == endNotChecked {
		level = zerolog.DebugLevel
	}
	prints := c.fingerprints()
	g.log.WithLevel(level).Err(reason).Str("Request", c.request.ID).Str("Fingerprint", prints[0].String()).
		Str("AnyCaller", prints[1].String()).Str("Caller", c.caller.String()).
		Str("Target", string(t.Name)).Int64("Born", t.Born()).Str("Service", string(c.service.name)).
		Str("Check", v.String()).Msg("no answer")
	if v == endConfirmed || v == endReset && isBrokenConnection(reason) {
		g.crashes.Inc(1)
	}
	for _, f := range prints {
		switch {
		case v == endConfirmed, v == endReset && isBrokenConnection(reason):
			n := g.isolator.Crashed(f, target.Target, target.Born, at)
			g.logEnd(target, isolator.End{Fingerprint: f, Crashes: n, Mine: true}, v.String())
		case v == endRefuted:
			g.isolator.Unanswered(f, target, isolator.Alive, at, time.Now())
		case v == endSilent:
			g.isolator.Unanswered(f, target, isolator.Silent, at, time.Now())
		default:
			g.isolator.Unanswered(f, target, isolator.Unknown, at, time.Now())
		}
	}
}

// logEnd logs that a target has ended under a request, and what has shown it.
func (g *Gateway) logEnd(target isolator.Incarnation, e isolator.End, shownBy string) {
	level := zerolog.WarnLevel
	if !e.Mine {
		level = zerolog.DebugLevel
	}
	g.log.WithLevel(level).Str("Fingerprint", e.Fingerprint.String()).Str("Target", string(target.Target)).Int64("Born", target.Born).
		Int("Crashes", e.Crashes).Str("Check", shownBy).Msg("target ended while it ran the request")
}

// isBrokenConnection reports whether an error means that the other end refuses
// connections, or has closed one.
func isBrokenConnection(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, unix.ECONNREFUSED, unix.ECONNRESET, unix.EPIPE)
}

// spreadCrashes sends the messages about requests that crash targets that are due.
func (g *Gateway) spreadCrashes(ctx context.Context, now time.Time) {
	home, all := g.isolator.News(now)
	for _, c := range home {
		news := isolator.News{Cases: []isolator.Case{c}, Direct: true}
		g.gossiper.TellHomes(uint64(c.Fingerprint), crashHomes, gossiper.Message{Crashes: &news})
	}
	if len(all.Cases) > 0 {
		all.Loaded = g.crashesLoaded.Load()
		g.gossiper.Spread(gossiper.Message{Crashes: &all})
	}
	if unsaved := g.isolator.Unsaved(now); len(unsaved) > 0 {
		go g.saveCases(ctx, unsaved)
	}
}

// hearCrashes applies what a peer tells of requests that crash targets, and answers it if
// it asks.
func (g *Gateway) hearCrashes(from netip.Addr, n isolator.News, now time.Time) {
	if changes := g.isolator.Hear(n, g.gossiper.Count(), now); changes > 0 {
		g.log.Info().Int("Changes", changes).Msg("blocked requests changed")
	}
	if n.Loaded {
		g.crashesLoaded.Store(true)
	}
	if n.Ask && g.crashesLoaded.Load() {
		g.tellCases(now, func(m gossiper.Message) { g.gossiper.Tell(from, m) })
	}
}

// tellCases sends the cases that the entry knows, in messages of bounded length.
func (g *Gateway) tellCases(now time.Time, send func(gossiper.Message)) {
	cases := g.isolator.Cases(maxCasesPerReply, now)
	for first := true; first || len(cases) > 0; first = false {
		n := min(len(cases), isolator.MaxCasesPerMessage)
		send(gossiper.Message{Crashes: &isolator.News{Cases: cases[:n], Loaded: len(cases) == n}})
		cases = cases[n:]
	}
}

// loadCrashes gets the cases of earlier times, when the entry starts: from a peer that
// has them, or else from the store. The first entry to read them tells the others.
func (g *Gateway) loadCrashes(ctx context.Context) {
	if g.platform.Bootstrap {
		g.crashesLoaded.Store(true)
	}
	for ctx.Err() == nil && !g.crashesLoaded.Load() {
		for range crashAskRounds {
			g.gossiper.TellAny(gossiper.Message{Crashes: &isolator.News{Ask: true}})
			sleep(ctx, jitter(crashAskInterval))
		}
		sleep(ctx, randomUpTo(time.Duration(g.gossiper.Count())*crashReadJitter))
		if g.crashesLoaded.Load() || ctx.Err() != nil {
			return
		}
		cases, err := g.readCases(ctx, time.Now())
		if err != nil {
			g.log.Info().Err(err).Msg("can't read the blocked requests")
			continue
		}
		now := time.Now()
		g.isolator.Hear(isolator.News{Cases: cases}, g.gossiper.Count(), now)
		g.crashesLoaded.Store(true)
		g.log.Info().Int("Cases", len(cases)).Msg("read the blocked requests")
		g.tellCases(now, g.gossiper.Spread)
	}
}

// savedCase is the stored form of a case.
type savedCase struct {
	Crashes []savedCrash
}

// savedCrash is the stored form of a crash.
type savedCrash struct {
	Target loader.TargetName
	Born   int64
	At     time.Time
}

// saveCases writes cases to the store. A failed write is not repeated: the peers know the
// case, and the next crash writes it again.
func (g *Gateway) saveCases(ctx context.Context, cases []isolator.Case) {
	now := time.Now()
	for _, c := range cases {
		data, err := encodeCase(c, now)
		if err == nil {
			err = g.store.Put(ctx, crashTopic, c.Fingerprint.String(), data)
		}
		if err != nil {
			g.log.Warn().Err(err).Str("Fingerprint", c.Fingerprint.String()).Msg("can't save a blocked request")
		}
	}
}

// encodeCase returns the stored form of a case. It is empty for a case without crashes,
// which removes what was stored.
func encodeCase(c isolator.Case, now time.Time) ([]byte, error) {
	if len(c.Crashes) == 0 {
		return nil, nil
	}
	var saved savedCase
	for _, k := range c.Crashes {
		saved.Crashes = append(saved.Crashes, savedCrash{k.Target, k.Born, now.Add(-k.Age)})
	}
	data, err := json.Marshal(saved)
	return data, errors.Wrap(err, "encode a case")
}

// readCases reads the cases from the store, and removes those that are too old to count.
func (g *Gateway) readCases(ctx context.Context, now time.Time) ([]isolator.Case, error) {
	page, err := g.store.Newest(ctx, crashTopic)
	if err != nil {
		return nil, err
	}
	var cases []isolator.Case
	for _, r := range page.Records {
		c, err := decodeCase(r, now)
		if err != nil {
			g.log.Warn().Err(err).Str("Key", r.Key).Msg("record holds no blocked request")
		}
		if err != nil || c.IsExpired() {
			if err := g.store.Put(ctx, crashTopic, r.Key, nil); err != nil {
				g.log.Info().Err(err).Str("Key", r.Key).Msg("can't remove an old case")
			}
			continue
		}
		cases = append(cases, c)
	}
	return cases, nil
}

// decodeCase decodes a stored case. Times in the future, by a clock that has been set
// back, count as now.
func decodeCase(r platform.Record, now time.Time) (isolator.Case, error) {
	f, err := strconv.ParseUint(r.Key, 16, 64)
	if err != nil {
		return isolator.Case{}, errors.Wrap(err, "fingerprint")
	}
	var saved savedCase
	if err := json.Unmarshal(r.Value, &saved); err != nil {
		return isolator.Case{}, errors.Wrap(err, "case")
	}
	c := isolator.Case{Fingerprint: isolator.Fingerprint(f)}
	for _, k := range saved.Crashes {
		c.Crashes = append(c.Crashes, isolator.Crash{Target: k.Target, Born: k.Born, Age: max(0, now.Sub(k.At))})
	}
	return c, nil
}
