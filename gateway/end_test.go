package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"savoryroad.dev/platform/standin"
	"savoryroad.dev/transporter"
)

// Only a target that refuses connections, or whose address another one has, is known to
// have ended. One to which no connection is free is left open.
func TestCheckOfATargetShowsItsEnd(t *testing.T) {
	dial := func(err error) error {
		return errors.Wrap(&net.OpError{Op: "dial", Err: err}, "connect")
	}
	for _, c := range []struct {
		err  error
		want endVerdict
	}{
		{nil, endRefuted},
		{errNotHealthCheck, endRefuted},
		{errSpoiled, endRefuted},
		{dial(unix.ECONNREFUSED), endConfirmed},
		{errOtherTarget, endConfirmed},
		{dial(unix.ECONNRESET), endReset},
		{errors.Mark(io.EOF, transporter.ErrNoResponse), endReset},
		{transporter.ErrBusy, endBusy},
		{dial(unix.EHOSTUNREACH), endSilent},
		{dial(context.DeadlineExceeded), endSilent},
		{errors.Mark(context.DeadlineExceeded, transporter.ErrNoResponse), endSilent},
	} {
		if got := newEndVerdict(c.err); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}

// A request is blocked also if its callers have left when its targets end, so that no
// connection breaks off.
func TestTargetsEndAfterTheirCallersHaveLeft(t *testing.T) {
	const calls, down = 10, 300 * time.Millisecond
	f := newFleet(t, 2, 4)
	for _, target := range f.targets {
		target.Work = 500 * time.Millisecond
		target.SetBehaviour(func(*http.Request) standin.Behaviour {
			time.AfterFunc(60*time.Millisecond, func() {
				target.EndAs(standin.Mute, down)
				time.AfterFunc(down, func() { f.store.Register(target, "s", "home", target.Address(), "ready", 1, 0) })
			})
			return standin.Serve
		})
	}
	for i := range calls {
		ctx, leave := context.WithTimeout(t.Context(), 30*time.Millisecond)
		got := f.callWith(ctx, f.entries[i%len(f.entries)], http.MethodGet, "/safe/x", fmt.Sprint("g", i), nil)
		leave()
		if got.status == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(2 * down)
	}
	t.Errorf("the request was sent %d times", calls)
}
