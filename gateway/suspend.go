package gateway

import (
	"time"

	"golang.org/x/sys/unix"

	"savoryroad.dev/tracker"
)

// minSuspension is the shortest time of suspension that is reported. Reading the two
// clocks one after the other makes a smaller difference.
const minSuspension = 20 * time.Millisecond

// suspendedTime returns for how long the machine has been suspended since it started.
// The runtime's clock doesn't count that time.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0 // these clocks exist on every Linux that Go supports
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// suspendWatch detects suspensions of the machine.
type suspendWatch struct {
	// total returns the time of all suspensions, and seen is its latest value.
	total func() time.Duration
	seen  time.Duration
}

// check returns a message about suspensions since the last call, or nil.
func (w *suspendWatch) check() tracker.Msg {
	total := w.total()
	d := total - w.seen
	if d < minSuspension {
		return nil
	}
	w.seen = total
	return tracker.SuspendedMsg{For: d}
}
