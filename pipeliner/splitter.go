package pipeliner

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxHead is the size of a request's head, in bytes, above which it is not told from
	// what follows.
	maxHead = 16 << 10
	// maxLengthDigits is the number of digits of a Content-Length that fits an int64.
	maxLengthDigits = 18
)

// splitter finds where requests end in the bytes of a connection. Where a server might see
// another end than the splitter, it finds none from there on.
type splitter struct {
	// lost is set once the framing is in doubt.
	lost bool
	// line is the beginning of a line of which the end was not received.
	line []byte
	// lines and size are the number of lines and bytes of the head so far.
	lines, size int
	// hosts is the number of Host headers.
	hosts int
	// hasLength is set once the head has a Content-Length, of length bytes.
	hasLength bool
	length    int64
	// special is set if the head has something that keeps the request from starting ahead.
	special bool
	// inBody is set while the body is received, of which left bytes are missing.
	inBody bool
	left   int64
}

// split consumes bytes up to the end of the current request, and returns their number. It
// reports whether the request ends there, and whether nothing in its head keeps it from
// starting ahead. Data must not be empty.
func (s *splitter) split(data []byte) (n int, ended, plain bool) {
	for !s.inBody {
		if s.lost || n == len(data) {
			return len(data), false, false
		}
		rest := data[n:]
		i := bytes.IndexByte(rest, '\n')
		if i >= 0 {
			rest = rest[:i+1]
		}
		n += len(rest)
		s.size += len(rest)
		switch {
		case s.size > maxHead:
			s.lose()
		case i < 0:
			s.line = append(s.line, rest...)
		case len(s.line) > 0:
			line := append(s.line, rest...)
			s.line = nil
			s.readLine(line)
		default:
			s.readLine(rest)
		}
	}
	body := min(s.left, int64(len(data)-n))
	s.left -= body
	n += int(body)
	if s.left > 0 {
		return n, false, false
	}
	plain = !s.special && s.hosts == 1 && s.length == 0
	*s = splitter{}
	return n, true, plain
}

// lose gives up finding ends.
func (s *splitter) lose() { *s = splitter{lost: true} }

// readLine reads a line of the head with its end.
func (s *splitter) readLine(line []byte) {
	s.lines++
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok || !isText(line):
		s.lose()
	case s.lines == 1:
		if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) || bytes.HasPrefix(line, []byte("CONNECT ")) {
			s.lose()
		}
	case len(line) == 0:
		s.inBody, s.left = true, s.length
	case !s.readHeader(line):
		s.lose()
	}
}

// isText reports whether a line has no control characters but tabs.
func isText(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// readHeader reads a header line. It returns false if the framing is in doubt.
func (s *splitter) readHeader(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return false
	}
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	// Names that matter here begin with one of these letters; the others need no more.
	switch name[0] | 0x20 {
	case 'c', 'e', 'h', 't', 'u':
	default:
		return true
	}
	is := func(header string) bool { return len(name) == len(header) && strings.EqualFold(string(name), header) }
	switch {
	case is("Host"):
		s.hosts++
	case is("Content-Length"):
		return s.readLength(string(bytes.Trim(value, " \t")))
	case is("Transfer-Encoding"):
		return false
	case is("Expect"), is("Upgrade"), is("Trailer"), is("Te"):
		s.special = true
	case is("Connection"):
		s.special = s.special || !strings.EqualFold(string(bytes.Trim(value, " \t")), "keep-alive")
	}
	return true
}

// readLength reads the value of a Content-Length. It returns false if that is in doubt.
func (s *splitter) readLength(value string) bool {
	if s.hasLength || value == "" || len(value) > maxLengthDigits {
		return false
	}
	n, err := strconv.ParseUint(value, 10, 63)
	s.hasLength, s.length = true, int64(n)
	return err == nil
}

// tokenBytes are the bytes that a header's name consists of.
var tokenBytes = func() (set [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		set[c] = true
	}
	return set
}()
