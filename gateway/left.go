package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// leftCheckInterval is the time between two checks of whether a caller has left.
const leftCheckInterval = 100 * time.Millisecond

// errCallerLeft is the cause with which the context of a request ends whose caller has
// closed its connection.
var errCallerLeft = errors.New("the caller has left")

// watchCaller returns a context that ends when the caller closes its connection. The
// server itself notices that only once it has read the whole body, so this is for requests
// with an unread rest. A close behind more than fits into the receive buffer isn't seen.
func watchCaller(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(r.Context())
	stop := func() { cancel(nil) }
	conn := connectionOf(r)
	if conn == nil {
		return ctx, stop
	}
	raw, ok := socketOf(conn)
	if !ok {
		return ctx, stop
	}
	go func() {
		ticker := time.NewTicker(leftCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if hasHungUp(raw) {
				cancel(errCallerLeft)
				return
			}
		}
	}()
	return ctx, stop
}

// socketOf returns the socket of a connection, below what wraps it.
func socketOf(conn net.Conn) (syscall.RawConn, bool) {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	return raw, err == nil
}

// hasHungUp reports whether the peer of a socket has closed its end, or the connection
// is broken. What was received before may still be unread.
func hasHungUp(raw syscall.RawConn) bool {
	hungUp := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hungUp
}
