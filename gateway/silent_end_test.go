package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"savoryroad.dev/platform/standin"
)

// callFrom sends a request to an entry from an address.
func (f *fleet) callFrom(from netip.Addr, e *entry, method, path, id string) reply {
	r, err := standin.NewRequest(context.Background(), method, "http://"+e.platform.Listen.String()+path, "a.example", id, 2500*time.Millisecond, nil)
	if err != nil {
		f.t.Error(err)
		return reply{err: err}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: dialer.DialContext}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// wavesOfLethalRequests sends lethal requests to all entries in turn, without waiting for
// their answers, in waves with pauses in which targets come back.
func wavesOfLethalRequests(f *fleet, method, path string, from func(wave, i int) netip.Addr) {
	const (
		waves    = 3
		length   = 2 * time.Second
		pause    = 3500 * time.Millisecond
		interval = 40 * time.Millisecond
	)
	done := make(chan struct{})
	sent := 0
	for wave := range waves {
		for began := time.Now(); time.Since(began) < length; {
			go func(i int) {
				f.callFrom(from(wave, i), f.entries[i%len(f.entries)], method, path, fmt.Sprint("l", i))
				done <- struct{}{}
			}(sent)
			sent++
			time.Sleep(interval)
		}
		time.Sleep(pause)
	}
	for range sent {
		<-done
	}
}

// A request that ends targets in waves reaches targets at most three times later than
// contact after it has ended the third, in whichever way they end, and whether or not it
// comes from one address.
func TestRequestEndsTargetsInWaves(t *testing.T) {
	const contact, maxLater = 3 * time.Second, 3
	oneAddress := func(int, int) netip.Addr { return netip.MustParseAddr("127.0.0.1") }
	for _, c := range []struct {
		name   string
		method string
		end    standin.End
		down   time.Duration
		from   func(wave, i int) netip.Addr
	}{
		{"refuse", http.MethodGet, standin.Refuse, 2 * time.Second, oneAddress},
		{"mute", http.MethodGet, standin.Mute, 2 * time.Second, oneAddress},
		{"mute unsafe", http.MethodPost, standin.Mute, 2 * time.Second, oneAddress},
		{"dark", http.MethodGet, standin.Dark, 2 * time.Second, oneAddress},
		{"dark unsafe", http.MethodPost, standin.Dark, 2 * time.Second, oneAddress},
		{"back at once", http.MethodGet, standin.Mute, 5 * time.Millisecond, oneAddress},
		{"many addresses", http.MethodGet, standin.Refuse, 2 * time.Second, func(wave, i int) netip.Addr {
			return netip.AddrFrom4([4]byte{127, 9, byte(wave), byte(1 + i%4)})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 6, 18)
			ends := endOnLethal(f, c.end, c.down)
			path := "/safe/" + lethalPath
			if c.method == http.MethodPost {
				path = "/unsafe/" + lethalPath
			}
			wavesOfLethalRequests(f, c.method, path, c.from)
			at := ends()
			t.Logf("%d targets ended", len(at))
			if n := later(at, contact); n > maxLater {
				t.Errorf("%d targets ended, %d of them later than %v after the third, want at most %d", len(at), n, contact, maxLater)
			}
		})
	}
}

// A target that is cut off has not ended, whatever ran there when the cut began, and
// whether or not the cut also breaks connections off. Requests that it holds up are
// answered when it is back.
func TestRequestIsBlockedByCuts(t *testing.T) {
	f := newFleet(t, 2, 6)
	for round := range 4 {
		for i := range 4 {
			f.targets[(round+i)%len(f.targets)].Cut(1500*time.Millisecond, round%2 == 1)
		}
		for i := range 20 {
			go f.call(f.entries[i%2], http.MethodGet, "/safe/x", fmt.Sprint("c", round, "-", i), nil)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		for i, e := range f.entries {
			for n := range 10 {
				if got := f.call(e, http.MethodGet, "/safe/x", fmt.Sprint("after", round, i, n), nil); got.status != http.StatusOK {
					t.Errorf("round %d: entry %d answers %d", round, i, got.status)
				}
			}
		}
	}
}

// A request under which targets end while they answer it is blocked like one under which
// they end before, though the answer has begun.
func TestTargetsEndDuringTheirAnswers(t *testing.T) {
	const size = 1500 << 10 // more than an entry buffers
	f := newFleet(t, 3, 8)
	ended := 0
	for _, target := range f.targets {
		target.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.CrashMidway })
	}
	var last reply
	for i := 0; i < 30 && last.status != http.StatusServiceUnavailable; i++ {
		last = f.call(f.entries[i%len(f.entries)], http.MethodGet, fmt.Sprint("/safe/x?", standin.SizeParameter, "=", size), fmt.Sprint("m", i), nil)
		time.Sleep(100 * time.Millisecond)
	}
	for _, target := range f.targets {
		ended += target.Crashes()
	}
	if last.status != http.StatusServiceUnavailable {
		t.Errorf("%d targets ended, and the request got status %d", ended, last.status)
	}
}
