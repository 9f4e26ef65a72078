package courier

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// frameBytes is how much of a message fits into one datagram, beside the
	// addresses that it is passed on to.
	frameBytes = 900
	// maxFrames bounds the frames of one message, and with them its size.
	maxFrames = 1024
	// maxMessage bounds a message that is unpacked, in bytes: several times the
	// largest configuration there is.
	maxMessage = 8 << 20
	// assemblyTime is how long the frames of a message are waited for.
	assemblyTime = 1 * time.Second
	// maxAssemblies bounds the messages that are put together at a time.
	maxAssemblies = 64
)

// frame is one datagram: a message, or a part of one.
type frame struct {
	// Version is that of the sender.
	Version int `cbor:"0,keyasint"`
	// ID tells the frames of one message from those of others.
	ID uint64 `cbor:"1,keyasint"`
	// Index is the frame's place among the Count frames of its message.
	Index int `cbor:"2,keyasint"`
	Count int `cbor:"3,keyasint"`
	// Relay holds the peers that the receiver passes the frame on to.
	Relay []netip.Addr `cbor:"4,keyasint,omitempty"`
	Data  []byte       `cbor:"5,keyasint"`
	// Packed is set when the message is compressed.
	Packed bool `cbor:"6,keyasint,omitempty"`
}

// frames cuts a message into frames.
func frames(id uint64, m Message) ([]frame, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	packed := len(data) > frameBytes
	if packed {
		if data, err = pack(data); err != nil {
			return nil, err
		}
	}
	var out []frame
	for piece := range slices.Chunk(data, frameBytes) {
		out = append(out, frame{Version: version, ID: id, Index: len(out), Data: piece, Packed: packed})
	}
	for i := range out {
		out[i].Count = len(out)
	}
	return out, nil
}

// pack compresses a message: a configuration of 460 routes fills 128 datagrams
// as it is, and bursts of that size are lost on small links.
func pack(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return buf.Bytes(), nil
}

// decode reads a message of one or several frames.
func decode(data []byte, packed bool) (Message, bool) {
	var m Message
	if packed {
		var err error
		if data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessage)); err != nil {
			return Message{}, false
		}
	}
	return m, cbor.Unmarshal(data, &m) == nil
}

// assembly is a message some of whose frames have arrived.
type assembly struct {
	pieces  [][]byte
	missing int
	began   time.Time
}

// assembler puts messages together. It belongs to one goroutine.
type assembler struct {
	open map[uint64]*assembly
	// done holds the messages that are whole, so that a repeated frame does
	// not begin one of them again.
	done map[uint64]time.Time
}

func newAssembler() *assembler {
	return &assembler{open: map[uint64]*assembly{}, done: map[uint64]time.Time{}}
}

// add takes a frame and returns its message once that is whole.
func (a *assembler) add(f frame, now time.Time) (Message, bool) {
	if f.Count < 1 || f.Count > maxFrames || f.Index < 0 || f.Index >= f.Count {
		return Message{}, false
	}
	if f.Count == 1 {
		return decode(f.Data, f.Packed)
	}
	a.expire(now)
	if _, ok := a.done[f.ID]; ok {
		return Message{}, false
	}
	open, ok := a.open[f.ID]
	if !ok {
		if len(a.open) >= maxAssemblies {
			return Message{}, false
		}
		open = &assembly{pieces: make([][]byte, f.Count), missing: f.Count, began: now}
		a.open[f.ID] = open
	}
	if len(open.pieces) != f.Count || open.pieces[f.Index] != nil {
		return Message{}, false
	}
	open.pieces[f.Index] = f.Data
	if open.missing--; open.missing > 0 {
		return Message{}, false
	}
	delete(a.open, f.ID)
	a.done[f.ID] = now
	return decode(slices.Concat(open.pieces...), f.Packed)
}

// expire gives up messages whose frames did not all arrive.
func (a *assembler) expire(now time.Time) {
	for id, open := range a.open {
		if now.Sub(open.began) > assemblyTime {
			delete(a.open, id)
		}
	}
	for id, at := range a.done {
		if now.Sub(at) > assemblyTime {
			delete(a.done, id)
		}
	}
}
