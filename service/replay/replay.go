// Package replay runs a recorded event log through the reducer again and summarizes its effects and final state.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/hoststate"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// EffectLine is one effect with the event that caused it. Equal effects have equal encodings, because encoding/json
// sorts map keys.
type EffectLine struct {
	EventIndex int          `json:"event"` // index of the event in the log, from 1
	AtMS       int64        `json:"at_ms"`
	Cause      event.Kind   `json:"cause"`
	Kind       event.Kind   `json:"kind"`
	Effect     event.Effect `json:"effect"`
}

// Write appends the effect as one line of JSON.
func (l EffectLine) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	return errors.Wrapf(e.Encode(l), "encode effect %s", l.Kind)
}

// zstdMagic is the start of a compressed log. As the length of a first record it would mean 680 MB.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// maxWindowBytes bounds the window size that a compressed log may request.
const maxWindowBytes = 64 << 20

// OpenLog returns the records of an event log, which may be compressed with zstd.
func OpenLog(r io.Reader) (io.ReadCloser, error) {
	b := bufio.NewReader(r)
	if head, _ := b.Peek(len(zstdMagic)); !bytes.Equal(head, zstdMagic) {
		return io.NopCloser(b), nil
	}
	d, err := zstd.NewReader(b, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(maxWindowBytes))
	if err != nil {
		return nil, errors.Wrap(err, "open compressed event log")
	}
	return d.IOReadCloser(), nil
}

// StepFunc is called with each event of a log, its index from 1, and its effects. An error ends the replay.
type StepFunc func(index int, e event.Envelope, effects []event.Effect) error

// Run reduces the events of a log, starting with the state of a host that has just started, and returns the state
// after the last event and the time of that event. The error of a truncated log contains the index of the event.
func Run(log io.Reader, step StepFunc) (*core.State, clock.Millis, error) {
	records, err := OpenLog(log)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = records.Close() }()
	state := hoststate.NewState()
	var at clock.Millis
	for i := 1; ; i++ {
		b, err := runtime.ReadLogRecord(records)
		if errors.Is(err, io.EOF) {
			return state, at, nil
		}
		if err != nil {
			return nil, 0, errors.Wrapf(err, "read event %d of the log", i)
		}
		e, err := event.Decode(b)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "decode event %d of the log", i)
		}
		at = e.At
		if err := step(i, e, core.Reduce(state, e)); err != nil {
			return nil, 0, err
		}
	}
}

// ForEachEffect calls fn with each effect of a log.
func ForEachEffect(log io.Reader, fn func(EffectLine) error) error {
	_, _, err := Run(log, func(i int, e event.Envelope, effects []event.Effect) error {
		for _, eff := range effects {
			if err := fn(EffectLine{EventIndex: i, AtMS: int64(e.At), Cause: e.Event.EventKind(), Kind: eff.EffectKind(), Effect: eff}); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}
