package sched_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

// TestMain fixes the number of checks and the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "200", "rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// model tracks the state of every call and checks each effect against it.
type model struct {
	t        *rapid.T
	now      clock.Millis
	events   []event.Envelope
	effects  [][]event.Effect
	state    *sched.State
	workers  map[string]sched.Worker
	waiting  map[sched.CallID]clock.Millis
	running  map[sched.CallID]string
	granted  map[sched.CallID]bool
	ended    map[sched.CallID]bool
	enqueued map[sched.CallID]sched.Enqueued
	calls    []sched.CallID
}

func (m *model) reduce(e event.Event) {
	m.events = append(m.events, event.Envelope{At: m.now, Event: e})
	effects := m.state.Reduce(m.now, e)
	m.effects = append(m.effects, effects)
	for _, eff := range effects {
		switch x := eff.(type) {
		case sched.Grant:
			m.checkGrant(x, e)
		case sched.Refuse:
			delete(m.waiting, x.Call)
		}
	}
}

func (m *model) checkGrant(x sched.Grant, cause event.Event) {
	// A home that sends Enqueued for a granted call has lost the grant: it gets the same worker again, and nothing
	// else changes.
	if q, ok := cause.(sched.Enqueued); ok && q.Call == x.Call && m.running[x.Call] == x.Worker {
		return
	}
	if _, ok := m.waiting[x.Call]; !ok {
		m.t.Fatalf("grant for %v, which does not wait", x.Call)
	}
	if m.granted[x.Call] {
		m.t.Fatalf("second grant for %v", x.Call)
	}
	w := m.workers[x.Worker]
	if !w.Usable {
		m.t.Fatalf("grant on %s, which is not usable", x.Worker)
	}
	delete(m.waiting, x.Call)
	m.granted[x.Call], m.running[x.Call] = true, x.Worker
	n := 0
	for _, name := range m.running {
		if name == x.Worker {
			n++
		}
	}
	if n > w.MaxRunning {
		m.t.Fatalf("%d calls on %s, which runs %d", n, x.Worker, w.MaxRunning)
	}
}

func (m *model) changeGroup() {
	c := sched.GroupChanged{Group: "g/0", Policy: rapid.SampledFrom(plugins.Names()).Draw(m.t, "policy")}
	m.workers = map[string]sched.Worker{}
	for i := range rapid.IntRange(1, 4).Draw(m.t, "workers") {
		w := sched.Worker{
			Name: fmt.Sprintf("w%d", i), Usable: rapid.IntRange(0, 4).Draw(m.t, "usable") > 0,
			MaxRunning: rapid.IntRange(1, 3).Draw(m.t, "max running"), CacheCapacityTokens: 2000,
		}
		m.workers[w.Name] = w
		c.Workers = append(c.Workers, w)
	}
	m.reduce(c)
}

func (m *model) enqueue(program, turn int) {
	id := sched.CallID{Program: ids.NewProgram("a.1", uint64(program)), Key: fmt.Sprint(turn), Attempt: 1}
	e, repeated := m.enqueued[id]
	if !repeated {
		classes := []string{sched.ClassUrgent, sched.ClassInteractive, sched.ClassBatch}
		e = sched.Enqueued{
			Call: id, Group: "g/0", Home: "a.1", Agent: fmt.Sprintf("agent-%d", program%3), Class: classes[program%3], Turns: turn,
			PromptTokens: int64(rapid.IntRange(1, 900).Draw(m.t, "prompt")),
			TimeLeftMS:   int64(rapid.SampledFrom([]int{0, 500, 100_000}).Draw(m.t, "time left")),
		}
		m.enqueued[id] = e
		m.calls = append(m.calls, id)
	}
	if _, runs := m.running[id]; !runs && !m.ended[id] {
		if _, waits := m.waiting[id]; !waits {
			m.waiting[id] = m.now
		}
	}
	m.reduce(e)
}

func (m *model) step() {
	m.now += clock.Millis(rapid.IntRange(0, 2000).Draw(m.t, "pass"))
	program := rapid.IntRange(1, 12).Draw(m.t, "program")
	switch rapid.IntRange(0, 9).Draw(m.t, "step") {
	case 0, 1, 2, 3:
		m.enqueue(program, rapid.IntRange(0, 3).Draw(m.t, "turn"))
	case 4, 5, 6:
		if len(m.calls) == 0 {
			return
		}
		id := rapid.SampledFrom(m.calls).Draw(m.t, "call")
		w, ok := m.running[id]
		if !ok {
			return
		}
		delete(m.running, id)
		m.ended[id] = true
		m.reduce(sched.Finished{Call: id, Group: "g/0", Worker: w, PromptTokens: 500, GeneratedTokens: 50, Failed: program == 1})
	case 7:
		if len(m.calls) == 0 {
			return
		}
		id := rapid.SampledFrom(m.calls).Draw(m.t, "withdrawn")
		delete(m.waiting, id)
		delete(m.running, id)
		m.ended[id] = true
		m.reduce(sched.Withdrawn{Call: id, Group: "g/0"})
	case 8:
		m.reduce(sched.CacheReported{Group: "g/0", Worker: "w0", AgeMS: 100, Programs: []sched.ProgramCache{{Program: ids.NewProgram("a.1", uint64(program)), Tokens: 77}}})
		m.reduce(sched.Ticked{Group: "g/0"})
	case 9:
		m.changeGroup()
	}
}

// drain finishes calls and ticks; every waiting call must be granted or refused within the bound under every policy.
func (m *model) drain() {
	last := sched.GroupChanged{Group: "g/0", Policy: rapid.SampledFrom(plugins.Names()).Draw(m.t, "last policy")}
	m.workers = map[string]sched.Worker{"w0": {Name: "w0", Usable: true, MaxRunning: 1, CacheCapacityTokens: 2000}}
	last.Workers = []sched.Worker{m.workers["w0"]}
	m.reduce(last)
	for range 40 * (len(m.waiting) + len(m.running) + 1) {
		m.now += 1000
		for _, id := range m.calls {
			if w, ok := m.running[id]; ok {
				delete(m.running, id)
				m.reduce(sched.Finished{Call: id, Group: "g/0", Worker: w, PromptTokens: 500, GeneratedTokens: 50})
				break
			}
		}
		m.reduce(sched.Ticked{Group: "g/0"})
	}
	if len(m.waiting) > 0 {
		m.t.Fatalf("calls still wait: %v", m.waiting)
	}
}

// Guards against grants beyond the capacity of a worker, on unusable workers, for the second time, or for refused or
// withdrawn calls; against calls that starve; and against effects that differ when the same events are replayed.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, state: sched.NewState(), workers: map[string]sched.Worker{}, waiting: map[sched.CallID]clock.Millis{},
			running: map[sched.CallID]string{}, granted: map[sched.CallID]bool{}, ended: map[sched.CallID]bool{},
			enqueued: map[sched.CallID]sched.Enqueued{},
		}
		m.changeGroup()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
		}
		m.drain()
		replayed := sched.NewState()
		for i, e := range m.events {
			if got := replayed.Reduce(e.At, e.Event); !reflect.DeepEqual(got, m.effects[i]) {
				t.Fatalf("event %d (%s): replay gives %v, not %v", i, e.Event.EventKind(), got, m.effects[i])
			}
		}
	})
}
