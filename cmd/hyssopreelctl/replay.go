package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/host"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// newReducer returns the state in which a daemon starts.
var newReducer = host.NewState

type replay struct {
	Expect string `long:"expect" value-name:"EFFECTS" description:"file of expected effects, written by --output json"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"event log of a daemon"`
	} `positional-args:"yes" required:"yes"`
}

// effectLine is one effect. encoding/json sorts map keys, so that equal effects give equal bytes.
type effectLine struct {
	Event  int          `json:"event"` // index of the event in the log, from 1
	AtMS   int64        `json:"at_ms"`
	Cause  event.Kind   `json:"cause"`
	Kind   event.Kind   `json:"kind"`
	Effect event.Effect `json:"effect"`
}

func (c *replay) run(a *app) error {
	f, err := os.Open(c.Args.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if c.Expect != "" {
		return c.compare(a, f)
	}
	if a.Output == "json" {
		w := bufio.NewWriter(a.stdout)
		err := replayLog(f, func(l effectLine) error { return writeLine(w, l) })
		return errors.CombineErrors(err, w.Flush())
	}
	return a.printReplay(f)
}

func (a *app) printReplay(f io.Reader) error {
	var replayErr error
	err := a.print(nil, "EVENT AT CAUSE EFFECT CONTENT", func(add func(...any)) {
		replayErr = replayLog(f, func(l effectLine) error {
			content, err := json.Marshal(l.Effect)
			add(l.Event, l.AtMS, l.Cause, l.Kind, string(content))
			return err
		})
	})
	if err != nil {
		return err
	}
	return replayErr
}

// compare reports the first effect that differs from the expected ones.
func (c *replay) compare(a *app, f io.Reader) error {
	expected, err := os.ReadFile(c.Expect)
	if err != nil {
		return err
	}
	rest, n := expected, 0
	err = replayLog(f, func(l effectLine) error {
		var b bytes.Buffer
		if err := writeLine(&b, l); err != nil {
			return err
		}
		n++
		if !bytes.HasPrefix(rest, b.Bytes()) {
			want, _, _ := bytes.Cut(rest, []byte("\n"))
			return &errDiffers{fmt.Sprintf("effect %d differs\n  expected: %s\n  replayed: %s", n, want, bytes.TrimSpace(b.Bytes()))}
		}
		rest = rest[b.Len():]
		return nil
	})
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		want, _, _ := bytes.Cut(rest, []byte("\n"))
		return &errDiffers{fmt.Sprintf("the replay ends after %d effects\n  expected: %s", n, want)}
	}
	return a.done("All %d effects are as expected.", n)
}

func writeLine(w io.Writer, l effectLine) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	return errors.Wrapf(e.Encode(l), "encode effect %s", l.Kind)
}

// replayLog reduces the events of a log from the initial state and passes on each effect.
func replayLog(log io.Reader, fn func(effectLine) error) error {
	state := newReducer()
	rd := bufio.NewReader(log)
	for i := 1; ; i++ {
		b, err := runtime.ReadRecord(rd)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "event %d", i)
		}
		e, err := event.Decode(b)
		if err != nil {
			return errors.Wrapf(err, "event %d", i)
		}
		for _, eff := range core.Reduce(state, e) {
			if err := fn(effectLine{Event: i, AtMS: int64(e.At), Cause: e.Event.EventKind(), Kind: eff.EffectKind(), Effect: eff}); err != nil {
				return err
			}
		}
	}
}
