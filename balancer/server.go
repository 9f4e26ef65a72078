package balancer

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rs/zerolog"

	"savoryroad.dev/controller"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// drainedServer tells when its server has finished its last call.
type drainedServer struct {
	*khttp.Server
	drained chan struct{}
	abort   <-chan struct{}
	logger  zerolog.Logger
}

// Stop waits for the calls in flight, until the context ends.
func (s drainedServer) Stop(ctx context.Context) error {
	defer close(s.drained)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := s.Server.Stop(ctx)
	if err != nil {
		s.logger.Warn().Err(err).Msg("drain timeout is over; closing connections")
		return s.Server.Close()
	}
	return nil
}

// lastServer stops its server only after callers are drained.
type lastServer struct {
	*khttp.Server
	after <-chan struct{}
}

// Stop waits for its turn and then stops the server.
func (s lastServer) Stop(context.Context) error {
	<-s.after
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := s.Server.Stop(ctx); err != nil {
		return s.Server.Close()
	}
	return nil
}

// release waits, once the callers are drained, until this entry has given its
// shares away, or until the time for that is over.
func (b *Balancer) release(context.Context) error {
	<-b.drained
	defer close(b.released)
	if !b.settings.Peers.Enabled() {
		return nil
	}
	end := time.Now().Add(releaseTime)
	for !b.aborted() && time.Now().Before(end) && b.peers.ownsAny() && b.peers.hasLivePeer() {
		time.Sleep(releasePoll)
	}
	return nil
}

func (b *Balancer) aborted() bool {
	select {
	case <-b.abort:
		return true
	default:
		return false
	}
}

// appendSnapshot appends a record and reports the outcome to the loop.
func (b *Balancer) appendSnapshot(data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	o := b.log.Append(ctx, publisher.Stream, data)
	b.loop.Send(ctx, controller.SnapshotDoneMsg{Outcome: o})
}

// serverTLS reads the keys of an endpoint.
func serverTLS(t loader.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "TLS keys")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"h2", "http/1.1"},
	}, nil
}
