package validator

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

//go:generate go tool stringer -type=headState -linecomment -output=head_string.go

// headState is the position in the head of a response (RFC 9112, section 2.1).
type headState int

const (
	// headEnded is the position before and behind a head.
	headEnded headState = iota // behind the end
	// inVersion is in the protocol version, at the beginning of the status line.
	inVersion // in the protocol version
	// beforeStatus is in the space behind it. Parsers allow more than one.
	beforeStatus // before the status
	inStatus     // in the status
	inReason     // in the reason phrase
	atLineStart  // at the beginning of a line
	inName       // in the name of a field
	inValue      // in the value of a field
	// atLastByte is behind the carriage return of the empty line that ends the head.
	atLastByte // in the last line
)

const (
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// maxStatus is the largest valid status (RFC 9110, section 15).
	maxStatus = 599
)

// head checks the head of a response as it is received, and those of the informational
// responses before it.
type head struct {
	state headState
	// status and digits are the part of the status that was received, and its length.
	status, digits int
	// err is the violation that was found. Further bytes don't matter.
	err error
}

// check checks the next bytes, of which those behind the head are ignored.
func (h *head) check(p []byte) error {
	for _, b := range p {
		if h.state == headEnded || h.err != nil {
			break
		}
		if err := h.advance(b); err != nil {
			h.err = errors.Mark(errors.Wrap(err, "invalid response"), ErrInvalid)
		}
	}
	return h.err
}

// advance moves on by one byte. It returns an error if the byte isn't allowed there.
func (h *head) advance(b byte) error {
	switch h.state {
	case inVersion:
		if b == '\n' {
			return h.unexpected(b)
		}
		if b == ' ' {
			h.state = beforeStatus
		}
	case beforeStatus:
		if b != ' ' {
			h.state = inStatus
			return h.advanceStatus(b)
		}
	case inStatus:
		return h.advanceStatus(b)
	case inReason, inValue:
		if b == '\n' {
			h.state = atLineStart
		}
	case atLineStart:
		switch {
		case b == '\r':
			h.state = atLastByte
		case b == '\n':
			h.end()
		case !httpguts.IsTokenRune(rune(b)):
			// A blank would continue the line before. Servers must not send that, and
			// a proxy must not forward it (RFC 9112, section 5.2).
			return h.unexpected(b)
		default:
			h.state = inName
		}
	case inName:
		switch {
		case b == ':':
			h.state = inValue
		case !httpguts.IsTokenRune(rune(b)):
			return h.unexpected(b)
		}
	case atLastByte:
		if b != '\n' {
			return h.unexpected(b)
		}
		h.end()
	}
	return nil
}

// advanceStatus moves on in the status, or to the byte behind it.
func (h *head) advanceStatus(b byte) error {
	if h.digits < statusDigits {
		if b < '0' || b > '9' {
			return h.unexpected(b)
		}
		h.status = 10*h.status + int(b-'0')
		h.digits++
		return nil
	}
	if h.status < http.StatusContinue || h.status > maxStatus {
		return errors.Newf("status %03d", h.status)
	}
	if h.status == http.StatusSwitchingProtocols {
		return errors.New("a switch of protocols that no request has asked for")
	}
	switch b {
	case ' ', '\r':
		h.state = inReason
	case '\n':
		h.state = atLineStart
	default:
		return h.unexpected(b)
	}
	return nil
}

// end moves on to the next head if this one is that of an informational response.
func (h *head) end() {
	next := head{}
	if h.status < http.StatusOK {
		next.state = inVersion
	}
	*h = next
}

// unexpected returns the error for a byte that isn't allowed at its position.
func (h *head) unexpected(b byte) error { return errors.Newf("byte %q %s", b, h.state) }
