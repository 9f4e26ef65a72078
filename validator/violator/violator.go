// Package violator plays HTTP/1.1 servers whose responses violate the protocol. It is for
// tests.
package violator

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is an HTTP/1.1 server that decides about each byte of its responses, so that
// they may violate the protocol.
type Server struct {
	// Addr is the address that it listens on.
	Addr     net.Addr
	listener net.Listener
}

// Responder answers the first request of a connection, which is closed afterwards.
type Responder func(conn *net.TCPConn, r *http.Request)

// NewServer starts a server on the loopback interface.
func NewServer(respond Responder) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start server")
	}
	s := &Server{Addr: l.Addr(), listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return s, nil
}

// Close stops the server. Connections that are open stay so.
func (s *Server) Close() { _ = s.listener.Close() }

// Respond returns a Responder that reads the request and sends a response.
func Respond(response string) Responder {
	return func(conn *net.TCPConn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(conn, response) // the client may have disconnected
		}
	}
}

// resetDelay is the time from the beginning of a response to the reset of its connection.
// The client has read it by then, and waits to send more of its request.
const resetDelay = 20 * time.Millisecond

// ResetMidway returns a Responder that sends the beginning of a response at once, and
// resets the connection while the body of the request is on its way.
func ResetMidway(response string) Responder {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, response) // the client may have disconnected
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0) // unread bytes reset the connection as well
	}
}

// Responses returns responses that violate the protocol, by their fault. Apart from
// that, each is a response with a status, some field lines and a body, and ends with the
// connection at the latest.
func Responses(status int, fields, body string) map[string]string {
	sized := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	chunked := fmt.Sprintf("chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	valid := fmt.Sprintf("HTTP/1.1 %d \r\n", status)
	responses := map[string]string{
		"status 000":                    "HTTP/1.1 000 \r\n" + sized,
		"status 000 before a response":  "HTTP/1.1 000 \r\n" + fields + "\r\n" + valid + sized,
		"status 099 before a response":  "HTTP/1.1 099 \r\n" + fields + "\r\n" + valid + sized,
		"status +20 before a response":  "HTTP/1.1 +20 \r\n" + fields + "\r\n" + valid + sized,
		"status 600":                    "HTTP/1.1 600 \r\n" + sized,
		"status 999":                    "HTTP/1.1 999 \r\n" + sized,
		"status 101":                    "HTTP/1.1 101 Switching Protocols\r\n" + sized,
		"status 101 of an upgrade":      "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + sized,
		"blank in a name":               valid + "X Y: z\r\n" + sized,
		"blank before a colon":          valid + fields + "Transfer-Encoding : " + chunked,
		"blank before a length's colon": fmt.Sprintf("%s%sContent-Length : %d\r\n\r\n%s", valid, fields, len(body), body),
		"blank before a name":           valid + fields + " Transfer-Encoding: " + chunked,
		"tab before a name":             valid + fields + "\tTransfer-Encoding: " + chunked,
		"blank in an informational one": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + valid + sized,
		"tab in a name":                 valid + "X\tY: z\r\n" + sized,
		"control byte in a name":        valid + "X\x01Y: z\r\n" + sized,
		"NUL in a name":                 valid + "X\x00Y: z\r\n" + sized,
		"no name":                       valid + ": z\r\n" + sized,
	}
	maps.Copy(responses, InvalidValues(status, fields, body))
	return responses
}

// InvalidValues returns those of Responses that have a control byte in the value of a
// field. The parser of net/http rejects them.
func InvalidValues(status int, fields, body string) map[string]string {
	sized := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	valid := fmt.Sprintf("HTTP/1.1 %d \r\n", status)
	return map[string]string{
		"control byte in a value":  valid + "X: y\x01z\r\n" + sized,
		"NUL in a value":           valid + "X: y\x00z\r\n" + sized,
		"DEL in a value":           valid + "X: y\x7fz\r\n" + sized,
		"CR in a value":            valid + "X: y\rz\r\n" + sized,
		"control byte in a length": fmt.Sprintf("%s%sContent-Length: %d\x0b\r\n\r\n%s", valid, fields, len(body), body),
	}
}
