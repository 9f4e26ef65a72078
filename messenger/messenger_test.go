package messenger_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"savoryroad.dev/deduplicator"
	"savoryroad.dev/emulator"
	"savoryroad.dev/messenger"
)

// signed returns keys that an authority signed for the time given.
func signed(t *testing.T, a *emulator.Authority, name string, life time.Duration) *messenger.Keys {
	t.Helper()
	cert, key, err := a.Sign(name, life)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := messenger.LoadKeys(cert, key, a.CAFile())
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func newAuthority(t *testing.T) *emulator.Authority {
	t.Helper()
	a, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// listen starts a server that counts the requests it handles.
func listen(t *testing.T, cfg *tls.Config) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	var n atomic.Int64
	s, err := messenger.Listen("127.0.0.1:0", cfg, func(context.Context, messenger.Request) messenger.Answer {
		n.Add(1)
		return messenger.Answer{Done: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return s.Addr().(*net.UDPAddr).AddrPort(), &n
}

func ask(t *testing.T, keys *messenger.Keys, peer netip.AddrPort) error {
	t.Helper()
	c := messenger.NewClient(keys.ClientTLS())
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := c.Ask(ctx, peer, messenger.Request{Settle: &messenger.Settle{Key: "k"}})
	return err
}

// Only peers with a key that the authority signed, and that is in date, get
// anything, and only such servers are asked.
func TestUnknownKeysGetNothing(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	good := signed(t, ours, "good", time.Hour)
	peer, handled := listen(t, good.ServerTLS())
	if err := ask(t, signed(t, ours, "other", time.Hour), peer); err != nil {
		t.Errorf("known key: %v", err)
	}
	if err := ask(t, signed(t, theirs, "stranger", time.Hour), peer); err == nil {
		t.Error("unknown key was served")
	}
	if err := ask(t, signed(t, ours, "late", -time.Hour), peer); err == nil {
		t.Error("expired key was served")
	}
	if handled.Load() != 1 {
		t.Errorf("%d requests were handled, want 1", handled.Load())
	}
	impostor, reached := listen(t, signed(t, theirs, "impostor", time.Hour).ServerTLS())
	if err := ask(t, good, impostor); err == nil || reached.Load() != 0 {
		t.Errorf("impostor was asked: %v", err)
	}
}

// An answer of which a part is missing, or that has bytes behind its end, is an error,
// although its stream ends properly.
func TestPartOfAnswerIsAnswer(t *testing.T) {
	keys := signed(t, newAuthority(t), "e", time.Hour)
	whole, err := cbor.Marshal(messenger.Answer{Version: messenger.Version, Claim: messenger.NewClaimAnswer(deduplicator.Granted{})})
	if err != nil {
		t.Fatal(err)
	}
	l, err := quic.ListenAddr("127.0.0.1:0", keys.ServerTLS(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	answers := make(chan []byte, 1)
	go func() {
		conn, err := l.Accept(t.Context())
		if err != nil {
			return // the test has ended
		}
		for data := range answers {
			stream, err := conn.AcceptStream(t.Context())
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, stream)
			_, _ = stream.Write(data) // the client may have left
			_ = stream.Close()
		}
	}()
	defer close(answers)
	c := messenger.NewClient(keys.ClientTLS())
	defer c.Close()
	for n := range len(whole) + 2 {
		answers <- append(whole[:len(whole):len(whole)], 0)[:n]
		a, err := c.Ask(t.Context(), l.Addr().(*net.UDPAddr).AddrPort(), messenger.Request{Claim: &deduplicator.Claim{Key: "k"}})
		if (err == nil) != (n == len(whole)) {
			t.Errorf("%d of %d bytes: got %+v, %v", n, len(whole), a, err)
		}
	}
}

// A newer version's message with unknown fields is read, and an answer of an
// unknown kind grants nothing.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	data, err := cbor.Marshal(map[string]any{"Version": 9, "Granted": true, "Novelty": map[string]int{"x": 1}})
	if err != nil {
		t.Fatal(err)
	}
	var a messenger.ClaimAnswer
	if err := cbor.Unmarshal(data, &a); err != nil {
		t.Fatal(err)
	}
	if _, ok := a.Verdict().(deduplicator.Granted); !ok {
		t.Errorf("verdict = %#v", a.Verdict())
	}
	for _, empty := range []*messenger.ClaimAnswer{nil, {}} {
		if got := empty.Verdict(); got != (deduplicator.Refused{Reason: deduplicator.Unreachable}) {
			t.Errorf("verdict of an empty answer = %#v", got)
		}
	}
}

func TestVerdictsSurviveTheMessage(t *testing.T) {
	for _, v := range []deduplicator.Verdict{
		deduplicator.Granted{}, deduplicator.Pending{}, deduplicator.Refused{Reason: deduplicator.TooOld},
	} {
		if got := messenger.NewClaimAnswer(v).Verdict(); got != v {
			t.Errorf("%#v became %#v", v, got)
		}
	}
	r := deduplicator.Repeated{Result: deduplicator.Result{Known: true, Status: 201}}
	if got, ok := messenger.NewClaimAnswer(r).Verdict().(deduplicator.Repeated); !ok || got.Result.Status != 201 {
		t.Errorf("%#v became %#v", r, got)
	}
}

// BenchmarkCapacityAsk is one claim and its answer, both ends in one process.
func BenchmarkCapacityAsk(b *testing.B) {
	a, err := emulator.NewAuthority(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	cert, key, err := a.Sign("e", time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	keys, err := messenger.LoadKeys(cert, key, a.CAFile())
	if err != nil {
		b.Fatal(err)
	}
	s, err := messenger.Listen("127.0.0.1:0", keys.ServerTLS(), func(context.Context, messenger.Request) messenger.Answer {
		return messenger.Answer{Claim: messenger.NewClaimAnswer(deduplicator.Granted{})}
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.Run(ctx) }()
	peer := s.Addr().(*net.UDPAddr).AddrPort()
	c := messenger.NewClient(keys.ClientTLS())
	defer c.Close()
	r := messenger.Request{Claim: &deduplicator.Claim{Key: "018bcfe5-6800-7000-8000-000000000000", Attempt: "a"}}
	used := processorTime(b)
	for b.Loop() {
		if _, err := c.Ask(ctx, peer, r); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-used).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(c.Bytes())/float64(b.N), "message-B/op")
}

// processorTime is the time that this process has spent on processors.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
