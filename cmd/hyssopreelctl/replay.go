package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/service/replay"
)

type replayCommand struct {
	Expect   string `long:"expect" value-name:"FILE" description:"file of expected outcomes, written by --outcomes, or of expected effects, written by --output json"`
	Outcomes bool   `long:"outcomes" description:"print the outcomes instead of the effects, in the format of --expect"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"event log of a daemon; it may be compressed with zstd"`
	} `positional-args:"yes" required:"yes"`
}

func (c *replayCommand) run(a *app) error {
	f, err := os.Open(c.Args.File)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	switch {
	case c.Expect != "":
		return c.compare(a, f)
	case c.Outcomes:
		summary, err := replay.Summarize(f)
		if err != nil {
			return errors.Wrapf(err, "replay %s", c.Args.File)
		}
		return summary.Write(a.stdout)
	case a.Output == "json":
		w := bufio.NewWriter(a.stdout)
		err := replay.ForEachEffect(f, func(l replay.EffectLine) error { return l.Write(w) })
		return errors.CombineErrors(errors.Wrapf(err, "replay %s", c.Args.File), w.Flush())
	}
	return errors.Wrapf(a.printEffects(f), "replay %s", c.Args.File)
}

func (a *app) printEffects(f io.Reader) error {
	var replayErr error
	err := a.printResult(nil, "EVENT AT CAUSE EFFECT CONTENT", func(add func(...any)) {
		replayErr = replay.ForEachEffect(f, func(l replay.EffectLine) error {
			content, err := json.Marshal(l.Effect)
			add(l.EventIndex, l.AtMS, l.Cause, l.Kind, string(content))
			return err
		})
	})
	if err != nil {
		return err
	}
	return replayErr
}

// compare compares the replay with the expected outcomes if the file holds outcomes, and otherwise with effects.
func (c *replayCommand) compare(a *app, f io.Reader) error {
	expected, err := os.ReadFile(c.Expect)
	if err != nil {
		return err
	}
	if summary, err := replay.ParseSummary(expected); err == nil {
		return errors.Wrapf(compareOutcomes(a, f, summary), "replay %s", c.Args.File)
	} else if c.Outcomes {
		return errors.Wrap(err, c.Expect)
	}
	return errors.Wrapf(compareEffects(a, f, expected), "replay %s", c.Args.File)
}

func compareOutcomes(a *app, f io.Reader, expected *replay.Summary) error {
	replayed, err := replay.Summarize(f)
	if err != nil {
		return err
	}
	difference, err := replay.Difference(expected, replayed)
	if err != nil {
		return err
	}
	if difference != "" {
		return &replayMismatchError{difference}
	}
	return a.printConfirmation("All outcomes of %d programs and %d answers are as expected.", len(expected.Programs), len(expected.Answers))
}

// compareEffects reports the first effect that differs from the expected ones.
func compareEffects(a *app, f io.Reader, expected []byte) error {
	rest, n := expected, 0
	err := replay.ForEachEffect(f, func(l replay.EffectLine) error {
		var b bytes.Buffer
		if err := l.Write(&b); err != nil {
			return err
		}
		n++
		if !bytes.HasPrefix(rest, b.Bytes()) {
			want, _, _ := bytes.Cut(rest, []byte("\n"))
			return &replayMismatchError{fmt.Sprintf("effect %d differs\n  expected: %s\n  replayed: %s", n, want, bytes.TrimSpace(b.Bytes()))}
		}
		rest = rest[b.Len():]
		return nil
	})
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		want, _, _ := bytes.Cut(rest, []byte("\n"))
		return &replayMismatchError{fmt.Sprintf("the replay ends after %d effects, and more are expected\n  expected: %s", n, want)}
	}
	return a.printConfirmation("All %d effects are as expected.", n)
}
