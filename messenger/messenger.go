// Package messenger carries requests between entries over QUIC with mutual
// TLS.
//
// A request and its answer are one CBOR message each, on a stream of their
// own. Readers skip fields that they do not know, and refuse messages above a
// size limit:
//
//	s, err := messenger.Listen(address, keys, handler)
//	answer, err := client.Ask(ctx, peer, messenger.Request{Digest: &d})
package messenger

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"savoryroad.dev/appender"
	"savoryroad.dev/deduplicator"
	"savoryroad.dev/isolator"
	"savoryroad.dev/publisher"
	"savoryroad.dev/registrar"
	"savoryroad.dev/warmer"
)

const (
	// Version is the version of the messages.
	Version = 1
	// protocol names the messages in the TLS handshake.
	protocol = "savoryroad/1"
	// maxMessageBytes bounds one message.
	maxMessageBytes = 16 << 20
	// idleTimeout closes a connection that carried nothing for so long.
	idleTimeout = 15 * time.Second
	// keepAlive is the interval of keep-alive packets.
	keepAlive = 5 * time.Second
	// maxStreams bounds the requests of one peer at the same time.
	maxStreams = 1024
	// handleTimeout bounds the work on one request.
	handleTimeout = 10 * time.Second
)

// Request is a question to a peer. Exactly one of the fields
// after Version is set.
type Request struct {
	// Version is that of the sender.
	Version int
	// Claim asks the owner of a key for the right to dispatch.
	Claim *deduplicator.Claim
	// Settle tells the owner of a key how a dispatch ended.
	Settle *Settle
	// Digest says how far the sender has read the log.
	Digest *Digest
	// Handover brings the memory of shares that will be transferred.
	Handover *Handover
	// News brings news of targets' warmth.
	News []warmer.News
	// Strike tells of a call that broke off at a target.
	Strike *isolator.Strike
	// Loan asks for a permit, or gives one back.
	Loan *warmer.Loan
}

// Settle tells how a dispatch ended.
type Settle struct {
	Key     string
	Attempt deduplicator.Attempt
	Result  deduplicator.Result
}

// Digest says how far an entry has read the configuration stream.
type Digest struct {
	// From is the entry that sends it.
	From registrar.Owner
	// Stopping is set when it takes no shares any more.
	Stopping bool
	// Next is the offset of the next record that it would read.
	Next appender.Offset
	// Revision is the newest revision that it holds.
	Revision publisher.Revision
	// Synced tells whether it holds every record below Next.
	Synced bool
}

// Handover brings the memory of shares.
type Handover struct {
	Shares []registrar.Share
	Keys   []deduplicator.Known
	Levels []warmer.News
}

// Answer is the answer to a Request; the field that belongs to the question
// is set.
type Answer struct {
	// Version is that of the sender.
	Version int
	// Claim is the verdict on a claim.
	Claim *ClaimAnswer
	// Done tells whether a Settle, a Handover, News or a Loan was taken.
	Done bool
	// Digest is the answerer's own.
	Digest *Digest
	// Levels are those of the targets that the answerer is the home of.
	Levels []warmer.News
	// Records are those that the asker lacks, as a JSON page, or empty.
	Records []byte
	// Reader is the whole state in JSON, where records would not do.
	Reader []byte
}

// ClaimAnswer carries a deduplicator.Verdict.
type ClaimAnswer struct {
	Granted  bool
	Pending  bool
	Repeated *deduplicator.Result
	Refused  *deduplicator.Reason
}

// NewClaimAnswer returns the message for a verdict.
func NewClaimAnswer(v deduplicator.Verdict) *ClaimAnswer {
	switch v := v.(type) {
	case deduplicator.Granted:
		return &ClaimAnswer{Granted: true}
	case deduplicator.Pending:
		return &ClaimAnswer{Pending: true}
	case deduplicator.Repeated:
		return &ClaimAnswer{Repeated: &v.Result}
	case deduplicator.Refused:
		return &ClaimAnswer{Refused: &v.Reason}
	}
	return &ClaimAnswer{}
}

// Verdict returns the verdict in a message. An empty message, or one of a
// kind that is not known here, grants nothing.
func (a *ClaimAnswer) Verdict() deduplicator.Verdict {
	switch {
	case a != nil && a.Granted:
		return deduplicator.Granted{}
	case a != nil && a.Pending:
		return deduplicator.Pending{}
	case a != nil && a.Repeated != nil:
		return deduplicator.Repeated{Result: *a.Repeated}
	case a != nil && a.Refused != nil:
		return deduplicator.Refused{Reason: *a.Refused}
	}
	return deduplicator.Refused{Reason: deduplicator.Unreachable}
}

// Page returns the records of an answer.
func (a Answer) Page() (appender.Page, error) {
	var p appender.Page
	err := json.Unmarshal(a.Records, &p)
	return p, errors.Wrap(err, "records of a peer")
}

// Handler answers requests; it is called on many goroutines.
type Handler func(ctx context.Context, r Request) Answer

var quicConfig = &quic.Config{
	MaxIdleTimeout:     idleTimeout,
	KeepAlivePeriod:    keepAlive,
	MaxIncomingStreams: maxStreams,
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorNone, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Server takes requests from peers.
type Server struct {
	listener *quic.Listener
	handler  Handler
	wg       sync.WaitGroup
}

// Listen takes requests at an address from peers whose keys are trusted.
func Listen(address string, cfg *tls.Config, h Handler) (*Server, error) {
	l, err := quic.ListenAddr(address, cfg, quicConfig)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return &Server{listener: l, handler: h}, nil
}

// Addr returns the address that peers reach.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	defer s.wg.Wait()
	defer s.listener.Close()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return nil
		}
		s.wg.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(0, "")
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.wg.Go(func() { s.answer(ctx, stream) })
	}
}

// answer handles one request. What can't be read gets no answer.
func (s *Server) answer(ctx context.Context, stream *quic.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(handleTimeout))
	var r Request
	if err := readMessage(stream, &r); err != nil {
		stream.CancelRead(1)
		stream.CancelWrite(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	a := s.handler(ctx, r)
	a.Version = Version
	_ = writeMessage(stream, a)
}

// Client asks peers. It keeps one connection to each.
type Client struct {
	tls *tls.Config
	// bytes counts the bytes of messages sent and received.
	bytes atomic.Int64

	mu    sync.Mutex
	conns map[netip.AddrPort]*quic.Conn
}

// NewClient returns a client that proves itself with the keys given.
func NewClient(cfg *tls.Config) *Client {
	return &Client{tls: cfg, conns: map[netip.AddrPort]*quic.Conn{}}
}

// Bytes returns the bytes of all requests and answers so far, without what the
// transport adds.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Close drops every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, conn := range c.conns {
		_ = conn.CloseWithError(0, "")
		delete(c.conns, peer)
	}
}

// Ask sends a request and waits for the answer. After an error the peer may or
// may not have acted on the request.
func (c *Client) Ask(ctx context.Context, peer netip.AddrPort, r Request) (Answer, error) {
	r.Version = Version
	conn, err := c.connect(ctx, peer)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "peer %s", peer)
	}
	a, err := exchange(ctx, conn, r, &c.bytes)
	if err != nil {
		c.drop(peer, conn)
		return Answer{}, errors.Wrapf(err, "peer %s", peer)
	}
	return a, nil
}

func (c *Client) connect(ctx context.Context, peer netip.AddrPort) (*quic.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[peer]
	c.mu.Unlock()
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	conn, err := quic.DialAddr(ctx, peer.String(), c.tls, quicConfig)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[peer]; ok && other.Context().Err() == nil {
		_ = conn.CloseWithError(0, "")
		return other, nil
	}
	c.conns[peer] = conn
	return conn, nil
}

// drop forgets a connection that failed, unless the request merely ran out of
// its own time on a connection that still lives.
func (c *Client) drop(peer netip.AddrPort, conn *quic.Conn) {
	if conn.Context().Err() == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[peer] == conn {
		delete(c.conns, peer)
	}
}

func exchange(ctx context.Context, conn *quic.Conn, r Request, bytes *atomic.Int64) (Answer, error) {
	var a Answer
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return a, err
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	counted := countingStream{stream, bytes}
	if err := writeMessage(counted, r); err != nil {
		return a, err
	}
	if err := stream.Close(); err != nil {
		return a, err
	}
	return a, readMessage(counted, &a)
}

// countingStream counts what passes.
type countingStream struct {
	io.ReadWriter
	bytes *atomic.Int64
}

// Read reads and counts.
func (s countingStream) Read(p []byte) (int, error) {
	n, err := s.ReadWriter.Read(p)
	s.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (s countingStream) Write(p []byte) (int, error) {
	n, err := s.ReadWriter.Write(p)
	s.bytes.Add(int64(n))
	return n, err
}

func writeMessage(w io.Writer, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	_, err = w.Write(data)
	return err
}

// readMessage reads to the end of the stream, which is one message.
func readMessage(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return errors.New("message is too large")
	}
	return errors.Wrap(decoding.Unmarshal(data, v), "message")
}
