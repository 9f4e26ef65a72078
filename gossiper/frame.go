package gossiper

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
	// maxFrameData is the maximum payload of a frame, in bytes. It leaves room in
	// the datagram for the relay list.
	maxFrameData = 900
	// maxFrames limits the frames of a message, and thereby its size.
	maxFrames = 1024
	// maxMessageBytes limits the size of a decompressed message, in bytes. It is
	// several times the size of the largest configuration.
	maxMessageBytes = 8 << 20
	// assemblyTimeout is how long after its first frame an incomplete message is
	// dropped, and how long the ID of a complete one is remembered.
	assemblyTimeout = 1 * time.Second
	// maxAssemblies limits the messages that are reassembled at the same time.
	maxAssemblies = 64
	// maxAssemblyBytes limits the bytes of their frames. Further frames are dropped, as if
	// they were lost.
	maxAssemblyBytes = 4 << 20
)

// MaxHeldBytes bounds the memory of messages that a Gossiper has received: incomplete ones,
// and one that is decoded.
const MaxHeldBytes = maxAssemblyBytes + maxMessageBytes

// frame is the content of a datagram: a message or a fragment of one.
type frame struct {
	// Version is the sender's version of the frame format.
	Version int `cbor:"0,keyasint"`
	// ID is a random number that identifies the frames of a message.
	ID uint64 `cbor:"1,keyasint"`
	// Index is the frame's position, from 0, among the Count frames of its
	// message.
	Index int `cbor:"2,keyasint"`
	Count int `cbor:"3,keyasint"`
	// Relay lists the peers to which the receiver forwards the frame.
	Relay []netip.Addr `cbor:"4,keyasint,omitempty"`
	// Data is the frame's fragment of the encoded message.
	Data []byte `cbor:"5,keyasint"`
	// Compressed is set if the message was compressed before it was split.
	Compressed bool `cbor:"6,keyasint,omitempty"`
}

// split splits a message into frames that carry an ID. It compresses a message
// that doesn't fit into one frame.
func split(id uint64, m Message) ([]frame, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	compressed := len(data) > maxFrameData
	if compressed {
		if data, err = compress(data); err != nil {
			return nil, err
		}
	}
	var out []frame
	for fragment := range slices.Chunk(data, maxFrameData) {
		out = append(out, frame{Version: frameVersion, ID: id, Index: len(out), Data: fragment, Compressed: compressed})
	}
	for i := range out {
		out[i].Count = len(out)
	}
	return out, nil
}

// compress compresses an encoded message. Uncompressed, a configuration of 460
// routes takes 128 datagrams, and bursts of that size are lost on small links.
func compress(data []byte) ([]byte, error) {
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

// decode decodes a complete message. It reports false if the data is invalid or
// exceeds maxMessageBytes.
func decode(data []byte, compressed bool) (Message, bool) {
	var m Message
	if compressed {
		var err error
		if data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessageBytes)); err != nil {
			return Message{}, false
		}
	}
	return m, cbor.Unmarshal(data, &m) == nil
}

// assembly is an incomplete message.
type assembly struct {
	// fragments holds the data of each frame by index, nil until it arrives.
	fragments [][]byte
	// missing counts the frames that have not arrived.
	missing int
	started time.Time
}

// assembler reassembles messages from frames. It is not safe for concurrent use.
type assembler struct {
	incomplete map[uint64]*assembly
	// held is the number of bytes of their frames.
	held int
	// completed holds the IDs of complete messages and when they were completed,
	// so that a duplicate frame doesn't start the same message again.
	completed map[uint64]time.Time
}

func newAssembler() *assembler {
	return &assembler{incomplete: map[uint64]*assembly{}, completed: map[uint64]time.Time{}}
}

// add adds a frame and returns its message if that is now complete. It ignores
// invalid frames, and duplicates of a message of several frames.
func (a *assembler) add(f frame, now time.Time) (Message, bool) {
	if f.Count < 1 || f.Count > maxFrames || f.Index < 0 || f.Index >= f.Count {
		return Message{}, false
	}
	if f.Count == 1 {
		return decode(f.Data, f.Compressed)
	}
	a.expire(now)
	if _, ok := a.completed[f.ID]; ok {
		return Message{}, false
	}
	partial, ok := a.incomplete[f.ID]
	if !ok {
		if len(a.incomplete) >= maxAssemblies {
			return Message{}, false
		}
		partial = &assembly{fragments: make([][]byte, f.Count), missing: f.Count, started: now}
		a.incomplete[f.ID] = partial
	}
	if len(partial.fragments) != f.Count || partial.fragments[f.Index] != nil {
		return Message{}, false
	}
	if a.held+len(f.Data) > maxAssemblyBytes {
		return Message{}, false
	}
	a.held += len(f.Data)
	partial.fragments[f.Index] = f.Data
	if partial.missing--; partial.missing > 0 {
		return Message{}, false
	}
	a.drop(f.ID)
	a.completed[f.ID] = now
	return decode(slices.Concat(partial.fragments...), f.Compressed)
}

// drop forgets an incomplete message.
func (a *assembler) drop(id uint64) {
	for _, fragment := range a.incomplete[id].fragments {
		a.held -= len(fragment)
	}
	delete(a.incomplete, id)
}

// expire drops the incomplete messages and the IDs of complete ones that are older
// than assemblyTimeout.
func (a *assembler) expire(now time.Time) {
	for id, partial := range a.incomplete {
		if now.Sub(partial.started) > assemblyTimeout {
			a.drop(id)
		}
	}
	for id, completed := range a.completed {
		if now.Sub(completed) > assemblyTimeout {
			delete(a.completed, id)
		}
	}
}
