// Package event defines the inputs and outputs of the reducers: adapters pass events in and carry out the returned
// effects. Both are plain data that msgpack can encode, so that a recorded log can be replayed byte for byte.
package event

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/nesting"
)

// Kind names the type of an event or an effect, for example "program.call_submitted". The part before
// the dot is the subsystem that handles it.
type Kind string

// Event is an input of a reducer.
type Event interface{ EventKind() Kind }

// Effect is an output of a reducer: an action that an adapter carries out.
type Effect interface{ EffectKind() Kind }

// Envelope is an event with the time at which the host received it.
type Envelope struct {
	At    clock.Millis
	Event Event
}

var typesByKind = map[Kind]reflect.Type{}

// Register registers the type of e for Decode. It is called from init functions only, with a zero value (not a
// pointer), and panics if the kind is registered already.
func Register(e Event) {
	if _, ok := typesByKind[e.EventKind()]; ok {
		panic("event kind registered twice: " + string(e.EventKind()))
	}
	typesByKind[e.EventKind()] = reflect.TypeOf(e)
}

type encodedEnvelope struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	At       clock.Millis
	Kind     Kind
	Body     msgpack.RawMessage
}

// Encode returns the envelope in the format of the event log.
func Encode(e Envelope) ([]byte, error) {
	body, err := msgpack.Marshal(e.Event)
	if err != nil {
		return nil, errors.Wrapf(err, "encode event %s", e.Event.EventKind())
	}
	return msgpack.Marshal(&encodedEnvelope{At: e.At, Kind: e.Event.EventKind(), Body: body})
}

// Decode reverses Encode. It returns an error for damaged bytes and for kinds that are not registered.
func Decode(b []byte) (Envelope, error) {
	if err := nesting.Check(b); err != nil {
		return Envelope{}, errors.Wrap(err, "decode event record")
	}
	var r encodedEnvelope
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Envelope{}, errors.Wrap(err, "decode event record")
	}
	t, ok := typesByKind[r.Kind]
	if !ok {
		return Envelope{}, errors.Newf("event kind %q is not registered", string(r.Kind))
	}
	v := reflect.New(t)
	if err := msgpack.Unmarshal(r.Body, v.Interface()); err != nil {
		return Envelope{}, errors.Wrapf(err, "decode event %s", r.Kind)
	}
	return Envelope{At: r.At, Event: v.Elem().Interface().(Event)}, nil
}
