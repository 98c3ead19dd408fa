// Package configuration decides which configuration is in force on a host. The ticket number in force
// only rises, whatever the order in which the store, the peers and the cached copy answer.
package configuration

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
)

// MaxAccepted is the number of accepted tickets that a document lists.
const MaxAccepted = 64

// maxDecodedBytes bounds the memory that a damaged or hostile document may take when it is decompressed.
const maxDecodedBytes = 64 << 20

// Accepted is one accepted ticket without its content.
type Accepted struct {
	Number  uint64       `json:"number"`
	Author  string       `json:"author"`
	Comment string       `json:"comment,omitempty"`
	Tag     string       `json:"tag"`
	At      clock.Millis `json:"at_ms"`
}

// Document is the value of the object config/current. It is immutable.
type Document struct {
	config.Config
	// Base is the number that was in force before Last was accepted.
	Base uint64 `json:"base"`
	// Last is the ticket that led from Base to Number; hosts at Base need nothing else.
	Last config.Ticket `json:"last"`
	// Accepted lists the latest accepted tickets, the oldest first.
	Accepted []Accepted `json:"accepted"`
}

// FindTag returns the accepted ticket with the tag.
func (d *Document) FindTag(tag string) (Accepted, bool) {
	for _, a := range d.Accepted {
		if a.Tag == tag {
			return a, true
		}
	}
	return Accepted{}, false
}

// FindNumber returns the accepted ticket with the number.
func (d *Document) FindNumber(n uint64) (Accepted, bool) {
	for _, a := range d.Accepted {
		if a.Number == n {
			return a, true
		}
	}
	return Accepted{}, false
}

// Covers reports whether the list of accepted tickets reaches back to number n, so that a ticket n that
// it lacks was never accepted.
func (d *Document) Covers(n uint64) bool {
	return len(d.Accepted) < MaxAccepted || n >= d.Accepted[0].Number
}

// Merge returns the document after the ticket. It copies what the ticket changes, and does not validate.
func (d *Document) Merge(t config.Ticket, at clock.Millis) *Document {
	o := d.Objects
	next := &Document{
		Config: config.Config{Number: t.Number, Objects: config.Objects{
			Pools:    merge(o.Pools, t.Objects.Pools),
			Agents:   merge(o.Agents, t.Objects.Agents),
			Tools:    merge(o.Tools, t.Objects.Tools),
			Services: merge(o.Services, t.Objects.Services),
			Teams:    merge(o.Teams, t.Objects.Teams),
		}},
		Base: d.Number,
		Last: t,
	}
	kept := d.Accepted
	if len(kept) >= MaxAccepted {
		kept = kept[len(kept)-MaxAccepted+1:]
	}
	next.Accepted = append(append([]Accepted{}, kept...),
		Accepted{Number: t.Number, Author: t.Author, Comment: t.Comment, Tag: t.Tag, At: at})
	return next
}

func merge[T any](old, changes map[string]*T) map[string]*T {
	if len(changes) == 0 {
		return old
	}
	merged := maps.Clone(old)
	if merged == nil {
		merged = make(map[string]*T, len(changes))
	}
	for name, v := range changes {
		if v == nil {
			delete(merged, name)
		} else {
			merged[name] = v
		}
	}
	return merged
}

// EncodeMsgpack encodes the document as JSON in a byte string: JSON sorts map keys, which msgpack does
// not, and recorded effects are compared byte for byte.
func (d *Document) EncodeMsgpack(enc *msgpack.Encoder) error {
	b, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	return enc.EncodeBytes(b)
}

// DecodeMsgpack reverses EncodeMsgpack.
func (d *Document) DecodeMsgpack(dec *msgpack.Decoder) error {
	b, err := dec.DecodeBytes()
	if err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	return json.Unmarshal(b, d)
}

// Encode returns the document as zstd-compressed JSON, the form in the store and in the cached copy.
func (d *Document) Encode() ([]byte, error) { return encode(d) }

// Decode reverses Document.Encode.
func Decode(b []byte) (*Document, error) {
	d := &Document{}
	if err := decode(b, d); err != nil {
		return nil, err
	}
	return d, nil
}

// EncodeTicket returns the ticket as zstd-compressed JSON.
func EncodeTicket(t config.Ticket) ([]byte, error) { return encode(t) }

// DecodeTicket reverses EncodeTicket.
func DecodeTicket(b []byte) (config.Ticket, error) {
	var t config.Ticket
	return t, decode(b, &t)
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(b, nil), nil
}

func decode(b []byte, v any) error {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		return errors.Wrap(err, "decompress configuration")
	}
	defer r.Close()
	plain, err := r.DecodeAll(b, nil)
	if err != nil {
		return errors.Wrap(err, "decompress configuration")
	}
	return errors.Wrap(json.Unmarshal(plain, v), "decode configuration")
}
