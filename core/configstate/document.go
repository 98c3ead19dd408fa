// Package configstate decides which configuration is in force on a host. The ticket number in force only rises,
// whatever the order in which the store, the peers and the cached copy answer.
package configstate

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
)

// MaxAcceptedTickets is the number of accepted tickets that a document lists.
const MaxAcceptedTickets = 64

// maxDecodedBytes bounds the memory for decompressing a damaged or malicious document.
const maxDecodedBytes = 64 << 20

// AcceptedTicket is one accepted ticket without its objects.
type AcceptedTicket struct {
	Number     uint64       `json:"number"`
	Author     string       `json:"author"`
	Comment    string       `json:"comment,omitempty"`
	Tag        string       `json:"tag"`
	AcceptedAt clock.Millis `json:"at_ms" msgpack:"At"`
}

// Document is the value of the object config/current. It is immutable.
type Document struct {
	config.Config
	// BaseNumber is the ticket number in force before LastTicket.
	BaseNumber uint64 `json:"base" msgpack:"Base"`
	// LastTicket is the ticket with the number Number. A host at BaseNumber needs nothing else to reach Number.
	LastTicket config.Ticket `json:"last" msgpack:"Last"`
	// AcceptedTickets lists the latest MaxAcceptedTickets accepted tickets, the oldest first.
	AcceptedTickets []AcceptedTicket `json:"accepted" msgpack:"Accepted"`
}

// FindByTag returns the accepted ticket with the tag.
func (d *Document) FindByTag(tag string) (AcceptedTicket, bool) {
	for _, a := range d.AcceptedTickets {
		if a.Tag == tag {
			return a, true
		}
	}
	return AcceptedTicket{}, false
}

// FindByNumber returns the accepted ticket with the number.
func (d *Document) FindByNumber(n uint64) (AcceptedTicket, bool) {
	for _, a := range d.AcceptedTickets {
		if a.Number == n {
			return a, true
		}
	}
	return AcceptedTicket{}, false
}

// HistoryCovers reports whether AcceptedTickets reaches back to number n, so that a ticket n that is not in it was
// never accepted.
func (d *Document) HistoryCovers(n uint64) bool {
	return len(d.AcceptedTickets) < MaxAcceptedTickets || n >= d.AcceptedTickets[0].Number
}

// WithTicket returns a copy of the document with the changes of the ticket, which it does not validate.
func (d *Document) WithTicket(t config.Ticket, acceptedAt clock.Millis) *Document {
	objects := d.Objects
	next := &Document{
		Config: config.Config{Number: t.Number, Objects: config.Objects{
			Pools:    applyChanges(objects.Pools, t.Objects.Pools),
			Agents:   applyChanges(objects.Agents, t.Objects.Agents),
			Tools:    applyChanges(objects.Tools, t.Objects.Tools),
			Services: applyChanges(objects.Services, t.Objects.Services),
			Teams:    applyChanges(objects.Teams, t.Objects.Teams),
		}},
		BaseNumber: d.Number,
		LastTicket: t,
	}
	kept := d.AcceptedTickets
	if len(kept) >= MaxAcceptedTickets {
		kept = kept[len(kept)-MaxAcceptedTickets+1:]
	}
	next.AcceptedTickets = append(append([]AcceptedTicket{}, kept...),
		AcceptedTicket{Number: t.Number, Author: t.Author, Comment: t.Comment, Tag: t.Tag, AcceptedAt: acceptedAt})
	return next
}

func applyChanges[T any](old, changes map[string]*T) map[string]*T {
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

// EncodeMsgpack encodes the document as JSON in a byte string: recorded effects are compared byte for byte, and
// unlike msgpack, JSON sorts map keys.
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
