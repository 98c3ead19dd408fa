package replay_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/service/replay"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

const traceFolder = "../../testdata/traces"

func encodeEffects(g *gomega.WithT, log []byte) []byte {
	var b bytes.Buffer
	g.Expect(replay.ForEachEffect(bytes.NewReader(log), func(l replay.EffectLine) error { return l.Write(&b) })).To(gomega.Succeed())
	return b.Bytes()
}

// Guards against a change of the reducer that changes the outcomes of recorded logs, against decisions that depend
// on the iteration order of a map, which differs between replays, and against non-idempotent calls that are
// dispatched twice.
func TestRecordedTraces(t *testing.T) {
	for _, deployment := range []string{"tobyl", "tallowcreek"} {
		logs, err := filepath.Glob(filepath.Join(traceFolder, deployment, "*.events.zst"))
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		gomega.NewWithT(t).Expect(logs).NotTo(gomega.BeEmpty(), "traces of %s", deployment)
		dispatches := map[string]int{}
		for _, path := range logs {
			t.Run(deployment+"/"+filepath.Base(path), func(t *testing.T) {
				g := gomega.NewWithT(t)
				log, err := os.ReadFile(path)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				outcomes, err := os.ReadFile(strings.TrimSuffix(path, ".events.zst") + ".outcomes.json")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				expected, err := replay.ParseSummary(outcomes)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				replayed, err := replay.Summarize(bytes.NewReader(log))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(replay.Difference(expected, replayed)).To(gomega.BeEmpty())

				for call, n := range replayed.NonIdempotentDispatches {
					dispatches[call] += n
				}
				first := encodeEffects(g, log)
				g.Expect(first).NotTo(gomega.BeEmpty())
				g.Expect(bytes.Equal(first, encodeEffects(g, log))).To(gomega.BeTrue(), "the effects of two replays differ")
			})
		}
		for call, n := range dispatches {
			gomega.NewWithT(t).Expect(n).To(gomega.Equal(1), "dispatches of %s at all hosts", call)
		}
		gomega.NewWithT(t).Expect(dispatches).NotTo(gomega.BeEmpty())
	}
}

// Guards against a comparison that misses a difference in one of the fields.
func TestDifference(t *testing.T) {
	g := gomega.NewWithT(t)
	expected := func() *replay.Summary {
		return &replay.Summary{
			Ticket: 1, NonIdempotentDispatches: map[string]int{"p/k": 1},
			Programs: []replay.Program{{ID: "p", State: "open", Turns: []replay.Turn{{Seq: 1, Key: "k", Kind: "tool", Outcome: "done"}}}},
			Answers:  []replay.Answer{{Waiter: 1, Request: "call p/k", Answer: "none"}},
		}
	}
	for name, change := range map[string]func(*replay.Summary){
		"ticket":   func(o *replay.Summary) { o.Ticket = 2 },
		"state":    func(o *replay.Summary) { o.Programs[0].State = "ended" },
		"spent":    func(o *replay.Summary) { o.Programs[0].SpentTokens = 1 },
		"turn":     func(o *replay.Summary) { o.Programs[0].Turns[0].Outcome = "moved, not run" },
		"turns":    func(o *replay.Summary) { o.Programs[0].Turns = nil },
		"dispatch": func(o *replay.Summary) { o.NonIdempotentDispatches["p/k"] = 2 },
		"answer":   func(o *replay.Summary) { o.Answers[0].Answer = "done, seq 1: x" },
		"answers":  func(o *replay.Summary) { o.Answers = append(o.Answers, o.Answers[0]) },
	} {
		other := expected()
		g.Expect(replay.Difference(expected(), other)).To(gomega.BeEmpty())
		change(other)
		g.Expect(replay.Difference(expected(), other)).NotTo(gomega.BeEmpty(), name)
	}
	var b bytes.Buffer
	g.Expect(expected().Write(&b)).To(gomega.Succeed())
	g.Expect(replay.ParseSummary(b.Bytes())).To(gomega.Equal(expected()))
	_, err := replay.ParseSummary([]byte(`{"event":1,"at_ms":2,"cause":"a.b","kind":"c.d","effect":{}}`))
	g.Expect(err).To(gomega.HaveOccurred(), "effects accepted as outcomes")
}

// Guards against answers of a log that are assigned to the wrong waiter or missing.
func TestAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	for _, e := range []event.Event{
		program.Started{Journal: "a.1"},
		program.OpenRequested{Waiter: 7},
		program.ReadRequested{Waiter: 8, Query: program.QueryOpen},
		program.EndRequested{Waiter: 9, Program: "a.1-4", Cancel: true},
		program.AdoptionRequested{Waiter: 10, Journal: "b.2"},
	} {
		b, err := event.Encode(event.Envelope{At: 1, Event: e})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(runtime.WriteLogRecord(&log, b)).To(gomega.Succeed())
	}
	summary, err := replay.Summarize(&log)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(summary.Answers).To(gomega.Equal([]replay.Answer{
		{Waiter: 7, Request: "open  for ", Answer: "invalid_request, not run"},
		{Waiter: 9, Request: "cancel a.1-4", Answer: "not_found, not run"},
		{Waiter: 10, Request: "adopt b.2", Answer: "none"}, // the commit is missing
	}))
}
