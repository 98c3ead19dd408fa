// Package turnlog decides on which hosts with a disk the turns of programs are retained, and how long. A turn is retained
// with its input and its output. The turns from the start of a conversation up to one of them are its chain, which a
// backend server needs to continue it.
package turnlog

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/nesting"
)

// Anchor decides on which hosts a turn is retained. All turns of a chain have the anchor of its first one, so that they
// lie together, whichever programs continue it.
type Anchor struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	// Key is the ID of the program that started the chain.
	Key string
	// FailureDomain is that of the host which handled the first turn. One copy is in this domain if it has a disk host.
	FailureDomain string
}

// Meta is a retained turn without its input and output.
type Meta struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	// ID is the caller's attempt ID.
	ID string
	// Previous is the ID of the turn that this one continues; empty at the start of a chain.
	Previous string
	Team     string
	Program  string
	Anchor   Anchor
	// Retention is how long the turn is retained after its last use.
	Retention time.Duration
	// Bytes is the size of the input and output, and Checksum their hash.
	Bytes    int
	Checksum uint64
}

// Record is a retained turn.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	Meta     Meta
	// Input is the body of the caller's request.
	Input []byte
	// Output is the data of each event of the response, followed by a line feed.
	Output []byte
}

// Seal sets Bytes and Checksum.
func (r *Record) Seal() {
	r.Meta.Bytes, r.Meta.Checksum = len(r.Input)+len(r.Output), checksum(r.Input, r.Output)
}

// IsIntact reports whether the input and output are those of Seal.
func (r *Record) IsIntact() bool {
	return r.Meta.Bytes == len(r.Input)+len(r.Output) && r.Meta.Checksum == checksum(r.Input, r.Output)
}

func checksum(input, output []byte) uint64 {
	var d xxhash.Digest
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(input)))) // never returns an error
	_, _ = d.Write(input)
	_, _ = d.Write(output)
	return d.Sum64()
}

// ErrCorrupt means that stored bytes are not what was written.
var ErrCorrupt = errors.New("stored bytes are corrupt")

// envelopeVersion is the first byte of what Encode returns. It changes with the format.
const envelopeVersion = 1

const envelopeHeaderBytes = 1 + 8

// Encode returns the stored form of a value: a version, a checksum and the value in msgpack.
func Encode(v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode a retained turn")
	}
	out := make([]byte, 0, envelopeHeaderBytes+len(body))
	out = append(out, envelopeVersion)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// Decode decodes the stored form of a value into v. ErrCorrupt means that the bytes are not what Encode returned.
func Decode(b []byte, v any) error {
	if len(b) < envelopeHeaderBytes || b[0] != envelopeVersion {
		return errors.Wrapf(ErrCorrupt, "%d bytes without a known version", len(b))
	}
	body := b[envelopeHeaderBytes:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[1:envelopeHeaderBytes]) {
		return errors.Wrapf(ErrCorrupt, "checksum of %d bytes", len(body))
	}
	return decodeBody(body, v)
}

func decodeBody(body []byte, v any) error {
	err := nesting.Check(body)
	if err == nil {
		err = msgpack.Unmarshal(body, v)
	}
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "decode %d bytes: %v", len(body), err)
	}
	return nil
}
