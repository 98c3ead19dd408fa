package program_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// TestMain fixes the seed and the number of histories, so that each run has the same result. Flags on the command
// line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1500", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	budget    = 3000
	maxTokens = 50
)

var testConfig = config.Config{Number: 1, Objects: config.Objects{
	Pools: map[string]*config.Pool{"lm": {Kind: "engine", Model: "m"}, "app": {Kind: "service"}},
	Agents: map[string]*config.Agent{
		"judge":  {Pool: "lm", Class: "interactive", MaxTokens: maxTokens, Tools: []string{"pay", "look"}, Services: []string{"bench"}, Agents: []string{"helper"}},
		"helper": {Pool: "lm", Class: "interactive", MaxTokens: maxTokens},
	},
	Tools:    map[string]*config.Tool{"pay": {CostTokens: 5}, "look": {Idempotent: true, CostTokens: 5}},
	Services: map[string]*config.Service{"bench": {Pool: "app", CostTokens: 3}},
	Teams:    map[string]*config.Team{"t": {MaxBudgetTokens: budget, MaxOpenPrograms: 100}},
}}

// simulation has the reducer and everything around it: the journal, the scheduler, the servers and the callers. It
// counts the executions at the servers.
type simulation struct {
	t           *rapid.T
	now         clock.Millis
	incarnation int
	state       *program.State

	durableRecords []program.Record
	pendingCommits []program.Commit
	enqueued       []sched.Enqueued
	dispatches     []program.Dispatch

	lastWaiter program.WaiterID
	submitted  map[program.WaiterID]submission
	programs   []ids.Program
	calls      map[string]api.Call // by program and key

	executions     map[string]int                   // by program and key
	costTokens     map[ids.Program]int64            // tokens that the servers counted
	durableAnswers map[ids.Program][]api.CallAnswer // durable answers in the order of their replies
	storeDown      bool

	executionsSinceRestart map[string]int // by program and key

	cacheHolders    map[ids.Program]map[string]bool // workers that have a program cached, as far as the journal has them
	pendingReleases []program.ReleaseCache          // requested by this home and not confirmed
}

type submission struct {
	program ids.Program
	key     string
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: 1000, submitted: map[program.WaiterID]submission{}, calls: map[string]api.Call{},
		executions: map[string]int{}, costTokens: map[ids.Program]int64{}, durableAnswers: map[ids.Program][]api.CallAnswer{},
		cacheHolders: map[ids.Program]map[string]bool{},
	}
	w.restart()
	return w
}

func (w *simulation) journal() ids.Journal { return ids.NewJournal("h", uint64(w.incarnation)) }

// restart starts a new incarnation, which adopts the programs in the durable records of the former one.
func (w *simulation) restart() {
	w.incarnation++
	w.state = program.New()
	records := w.durableRecords
	w.durableRecords, w.pendingCommits, w.enqueued, w.dispatches, w.pendingReleases = nil, nil, nil, nil, nil
	w.submitted = map[program.WaiterID]submission{}
	w.storeDown = false
	w.executionsSinceRestart = map[string]int{}
	w.send(program.Started{Journal: w.journal(), Limits: program.Limits{
		MaxQueuedCalls: 4, OrderTimeout: 2 * time.Second, IdleTimeout: time.Hour, Retention: time.Hour, MaxUncommittedBytes: 1 << 20,
	}})
	w.send(program.ConfigChanged{Config: testConfig})
	if w.incarnation > 1 {
		w.send(program.AdoptionRequested{Journal: ids.NewJournal("h", uint64(w.incarnation-1)), Records: records})
		w.commitPending(len(w.pendingCommits))
	}
}

func (w *simulation) send(e event.Event) {
	for _, eff := range w.state.Reduce(w.now, e) {
		switch f := eff.(type) {
		case program.Commit:
			w.pendingCommits = append(w.pendingCommits, f)
		case program.Enqueue:
			w.enqueued = append(w.enqueued, f.Request)
		case program.Withdraw:
			w.enqueued = slices.DeleteFunc(w.enqueued, func(q sched.Enqueued) bool { return q.Call == f.Request.Call })
		case program.Dispatch:
			w.checkDispatch(f)
		case program.Reply:
			w.checkReply(f)
		case program.CancelDispatch:
			w.dispatches = slices.DeleteFunc(w.dispatches, func(d program.Dispatch) bool { return d.Call == f.Call })
		case program.ReleaseCache:
			w.pendingReleases = append(w.pendingReleases, f)
		}
	}
}

// checkDispatch checks that no other call of the program is running, that the prompt has no text of other
// programs, and that the intent of a non-idempotent call is durable.
func (w *simulation) checkDispatch(d program.Dispatch) {
	w.dispatches = append(w.dispatches, d)
	for _, o := range w.dispatches[:len(w.dispatches)-1] {
		if o.Call.Program == d.Call.Program && o.Call.Key != d.Call.Key {
			w.t.Fatalf("calls %q and %q of program %s were dispatched at the same time", o.Call.Key, d.Call.Key, d.Call.Program)
		}
	}
	for _, m := range d.Messages {
		for _, other := range w.programs {
			if other != d.Call.Program && strings.Contains(m.Content, "<"+string(other)+">") {
				w.t.Fatalf("prompt of %s has text of %s", d.Call.Program, other)
			}
		}
	}
	if d.Idempotent {
		return
	}
	for _, rec := range w.durableRecords {
		if rec.Op == program.OpIntent && rec.Program == d.Call.Program && rec.Key == d.Call.Key {
			return
		}
	}
	w.t.Fatalf("call %v was dispatched before its intent was durable", d.Call)
}

func callKey(id ids.Program, key string) string { return string(id) + "/" + key }

func (w *simulation) checkReply(r program.Reply) {
	s, ok := w.submitted[r.Waiter]
	if !ok {
		if r.Opened != "" {
			w.programs = append(w.programs, r.Opened)
		}
		return
	}
	delete(w.submitted, r.Waiter)
	if r.Error != nil && r.Error.Outcome == fault.OutcomeNotRun && r.Error.Code != fault.CodeKeyReused && r.Error.Code != fault.CodeOutOfOrder {
		if n := w.executionsOf(s.program, s.key); n != 0 {
			w.t.Fatalf("call %s of %s was refused as not run and was executed %d times: %v", s.key, s.program, n, r.Error)
		}
	}
	if r.Answer == nil {
		return
	}
	if r.Answer.Program != s.program || r.Answer.Key != s.key {
		w.t.Fatalf("answer of %s/%s went to the caller of %s/%s", r.Answer.Program, r.Answer.Key, s.program, s.key)
	}
	if r.Answer.Durable && r.Answer.State == program.AnswerDone {
		w.durableAnswers[s.program] = append(w.durableAnswers[s.program], *r.Answer)
	}
}

// executionsOf counts the executions that contradict a refusal as "not run". An idempotent call may have been
// executed before its home failed; a non-idempotent one may not.
func (w *simulation) executionsOf(id ids.Program, key string) int {
	c := w.calls[callKey(id, key)]
	if c.Kind == api.CallModel || (c.Kind == api.CallTool && c.Tool.Name == "look") {
		return w.executionsSinceRestart[callKey(id, key)]
	}
	return w.executions[callKey(id, key)]
}

// commitPending makes the first n pending commits durable.
func (w *simulation) commitPending(n int) {
	for range n {
		c := w.pendingCommits[0]
		w.pendingCommits = w.pendingCommits[1:]
		w.durableRecords = append(w.durableRecords, c.Records...)
		w.send(program.Committed{UpTo: c.Seq})
	}
}

func (w *simulation) openProgram() {
	w.lastWaiter++
	w.send(program.OpenRequested{Waiter: w.lastWaiter, Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
}

func (w *simulation) submitCall() {
	if len(w.programs) == 0 {
		w.openProgram()
		return
	}
	id := rapid.SampledFrom(w.programs).Draw(w.t, "program")
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 6).Draw(w.t, "key"))
	c, ok := w.calls[callKey(id, key)]
	if !ok {
		c = w.newCall(id, key)
		w.calls[callKey(id, key)] = c
	}
	w.lastWaiter++
	w.submitted[w.lastWaiter] = submission{program: id, key: key}
	w.send(program.CallSubmitted{Waiter: w.lastWaiter, Program: id, Call: c})
}

func (w *simulation) newCall(id ids.Program, key string) api.Call {
	text := "<" + string(id) + "> " + key
	c := api.Call{Key: key, Kind: rapid.SampledFrom([]api.CallKind{api.CallModel, api.CallModel, api.CallTool, api.CallService, api.CallAgent}).Draw(w.t, "kind")}
	switch c.Kind {
	case api.CallModel:
		c.Model = &api.ModelCall{Prompt: text}
	case api.CallTool:
		c.Tool = &api.ToolCall{Name: rapid.SampledFrom([]string{"pay", "look"}).Draw(w.t, "tool"), Args: []byte(`"` + text + `"`)}
	case api.CallService:
		c.Service = &api.ServiceCall{Name: "bench", Method: "POST", Path: "/entries", Body: []byte(`"` + text + `"`)}
	case api.CallAgent:
		// The prompt leaves out the parent's ID, which checkDispatch would report in the prompt of the child.
		c.Agent = &api.AgentCall{Name: "helper", Prompt: key, BudgetTokens: 400}
	}
	return c
}

func (w *simulation) grantNext() {
	if len(w.enqueued) == 0 {
		return
	}
	q := w.enqueued[0]
	w.enqueued = w.enqueued[1:]
	w.send(program.Granted{Call: q.Call, Group: q.Group, Worker: rapid.SampledFrom([]string{"w1", "w2"}).Draw(w.t, "worker")})
}

// endDispatch ends one dispatch: completed, refused, or interrupted before or after its execution.
func (w *simulation) endDispatch() {
	if len(w.dispatches) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.dispatches)-1).Draw(w.t, "dispatch")
	d := w.dispatches[i]
	w.dispatches = slices.Delete(w.dispatches, i, i+1)
	e := program.DispatchEnded{Call: d.Call, Result: rapid.SampledFrom([]program.DispatchResult{
		program.ResultCompleted, program.ResultCompleted, program.ResultCompleted, program.ResultNotRun, program.ResultInterrupted,
	}).Draw(w.t, "result")}
	executed := e.Result == program.ResultCompleted || (e.Result == program.ResultInterrupted && rapid.Bool().Draw(w.t, "ran"))
	e.Text = d.ResumeText
	if executed {
		e.Usage = w.execute(d)
		if e.Result == program.ResultCompleted {
			e.Text += "answer to " + callKey(d.Call.Program, d.Call.Key)
		} else {
			e.Usage = api.Usage{} // an interrupted dispatch reports no usage
		}
	}
	w.send(e)
}

// execute counts one execution at a server and returns its usage.
func (w *simulation) execute(d program.Dispatch) api.Usage {
	w.executions[callKey(d.Call.Program, d.Call.Key)]++
	w.executionsSinceRestart[callKey(d.Call.Program, d.Call.Key)]++
	if n := w.executions[callKey(d.Call.Program, d.Call.Key)]; n > 1 && !d.Idempotent {
		w.t.Fatalf("non-idempotent call %v was executed %d times", d.Call, n)
	}
	u := api.Usage{}
	switch d.Kind {
	case api.CallModel:
		for _, m := range d.Messages {
			u.PromptTokens += int64(len(strings.Fields(m.Content)))
		}
		w.addCacheHolder(d.Call.Program, d.Worker)
		u.GeneratedTokens = int64(rapid.IntRange(1, d.MaxTokens).Draw(w.t, "tokens"))
		u.CostTokens = u.PromptTokens + u.GeneratedTokens
	case api.CallTool:
		w.costTokens[d.Call.Program] += 5
	case api.CallService:
		w.costTokens[d.Call.Program] += 3
	}
	w.costTokens[d.Call.Program] += u.CostTokens
	return u
}

func (w *simulation) addCacheHolder(id ids.Program, worker string) {
	if w.cacheHolders[id] == nil {
		w.cacheHolders[id] = map[string]bool{}
	}
	w.cacheHolders[id][worker] = true
}

// endProgram ends or cancels a random program.
func (w *simulation) endProgram() {
	if len(w.programs) == 0 {
		return
	}
	w.send(program.EndRequested{Program: rapid.SampledFrom(w.programs).Draw(w.t, "program"), Cancel: rapid.Bool().Draw(w.t, "cancel")})
}

// confirmRelease confirms one pending release.
func (w *simulation) confirmRelease() {
	if len(w.pendingReleases) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pendingReleases)-1).Draw(w.t, "release")
	r := w.pendingReleases[i]
	w.pendingReleases = slices.Delete(w.pendingReleases, i, i+1)
	delete(w.cacheHolders[r.Program], r.Worker)
	w.send(program.CacheReleased{Program: r.Program, Worker: r.Worker})
}

// dropUnjournaledCache removes the cache holders that the journal does not have after a crash: the workers of
// dispatches whose turn was not committed. The reconciliation with the engines' reports finds these.
func (w *simulation) dropUnjournaledCache() {
	journaled := map[ids.Program]map[string]bool{}
	for _, rec := range w.durableRecords {
		if rec.Op != program.OpTurn && rec.Op != program.OpOpened && rec.Op != program.OpEnded {
			continue
		}
		workers := slices.Clone(rec.Workers)
		if rec.Turn != nil {
			workers = append(workers, rec.Turn.Worker)
		}
		if rec.Header != nil {
			workers = append(workers, rec.Header.Workers...)
		}
		for _, worker := range workers {
			if journaled[rec.Program] == nil {
				journaled[rec.Program] = map[string]bool{}
			}
			journaled[rec.Program][worker] = true
		}
	}
	for id, workers := range w.cacheHolders {
		maps.DeleteFunc(workers, func(worker string, _ bool) bool { return !journaled[id][worker] })
	}
}

// checkCacheReleases checks that a release is pending for each worker that has the ended program cached.
func (w *simulation) checkCacheReleases(id ids.Program) {
	for worker := range w.cacheHolders[id] {
		if !slices.ContainsFunc(w.pendingReleases, func(r program.ReleaseCache) bool { return r.Program == id && r.Worker == worker }) {
			w.t.Fatalf("worker %s has the ended program %s cached and no release is pending", worker, id)
		}
	}
}

// crash ends the incarnation after a random number of its pending commits became durable. Servers may still
// execute its dispatches.
func (w *simulation) crash() {
	for _, c := range w.pendingCommits[:rapid.IntRange(0, len(w.pendingCommits)).Draw(w.t, "durable")] {
		w.durableRecords = append(w.durableRecords, c.Records...)
	}
	for _, d := range w.dispatches {
		if rapid.Bool().Draw(w.t, "ran at crash") {
			w.execute(d)
		}
	}
	w.dropUnjournaledCache()
	w.restart()
}

func (w *simulation) checkInvariants() {
	for _, id := range w.programs {
		w.lastWaiter++
		status, history := w.readProgram(id)
		if status == nil {
			w.t.Fatalf("program %s is lost", id)
		}
		if status.SpentTokens > budget {
			w.t.Fatalf("program %s spent %d tokens of %d", id, status.SpentTokens, budget)
		}
		if w.costTokens[id] > budget {
			w.t.Fatalf("program %s cost %d tokens at the servers, its budget is %d", id, w.costTokens[id], budget)
		}
		w.checkHistory(id, history)
		if status.State != program.StateOpen {
			w.checkCacheReleases(id)
		}
	}
}

func (w *simulation) readProgram(id ids.Program) (*api.ProgramStatus, []api.Turn) {
	var status *api.ProgramStatus
	var turns []api.Turn
	for _, q := range []program.Query{program.QueryStatus, program.QueryHistory} {
		for _, eff := range w.state.Reduce(w.now, program.ReadRequested{Waiter: w.lastWaiter, Query: q, Program: id}) {
			r := eff.(program.Reply)
			if r.Status != nil {
				status = r.Status
			}
			if r.History != nil {
				turns = r.History.Turns
			}
		}
	}
	return status, turns
}

// checkHistory checks that the history has each acknowledged answer, consecutive sequence numbers and no text of
// another program.
func (w *simulation) checkHistory(id ids.Program, turns []api.Turn) {
	next := 0
	for i, t := range turns {
		if t.Seq != i+1 {
			w.t.Fatalf("turn %d of %s has seq %d", i+1, id, t.Seq)
		}
		for _, other := range w.programs {
			if other != id && strings.Contains(t.Request, "<"+string(other)+">") {
				w.t.Fatalf("history of %s has text of %s", id, other)
			}
		}
		if next < len(w.durableAnswers[id]) && w.durableAnswers[id][next].Key == t.Key && w.durableAnswers[id][next].Text == t.Answer {
			next++
		}
	}
	acknowledged := slices.CompactFunc(slices.Clone(w.durableAnswers[id]), func(a, b api.CallAnswer) bool { return a.Key == b.Key })
	seen := map[string]bool{}
	missing := slices.DeleteFunc(acknowledged, func(a api.CallAnswer) bool {
		repeated := seen[a.Key]
		seen[a.Key] = true
		return repeated || slices.ContainsFunc(turns, func(t api.Turn) bool { return t.Key == a.Key && t.Answer == a.Text })
	})
	if len(missing) > 0 {
		w.t.Fatalf("acknowledged answer %q of %s is not in its history", missing[0].Key, id)
	}
}

// Guards against cache of ended programs that is not released, a lost or mixed history, a non-idempotent call that
// is executed twice, a refused call that was executed, an answer to the wrong caller and an overspent budget. The
// causes are crashes between any two steps, outages of the store, servers that refuse or interrupt requests, and
// repeated requests.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"open":    func(t *rapid.T) { w.t = t; w.openProgram() },
			"submit":  func(t *rapid.T) { w.t = t; w.submitCall() },
			"commit":  func(t *rapid.T) { w.t = t; w.commitPending(min(1, len(w.pendingCommits))) },
			"grant":   func(t *rapid.T) { w.t = t; w.grantNext() },
			"end":     func(t *rapid.T) { w.t = t; w.endDispatch() },
			"crash":   func(t *rapid.T) { w.t = t; w.crash() },
			"finish":  func(t *rapid.T) { w.t = t; w.endProgram() },
			"release": func(t *rapid.T) { w.t = t; w.confirmRelease() },
			"store": func(t *rapid.T) {
				w.t = t
				w.storeDown = !w.storeDown
				w.send(program.StoreAvailabilityChanged{Down: w.storeDown})
			},
			"tick": func(t *rapid.T) {
				w.t = t
				w.now += clock.Millis(rapid.IntRange(1, 1500).Draw(t, "ms"))
				w.send(program.Ticked{})
			},
			"scheduler": func(t *rapid.T) {
				w.t = t
				w.enqueued = nil
				w.send(program.SchedulerChanged{Group: "lm/0"})
				w.send(program.SchedulerChanged{Group: "app/0"})
				w.enqueued = slices.DeleteFunc(w.enqueued, func(q sched.Enqueued) bool { return q.RunningOn != "" })
			},
			"": func(t *rapid.T) { w.t = t; w.checkInvariants() },
		})
	})
}

// Guards against effects that depend on map order or a clock: the same events must give the same effects.
func TestReplayGivesTheSameEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "programs")
		replay := func() []event.Effect {
			s := program.New()
			out := s.Reduce(1, program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4}})
			out = append(out, s.Reduce(1, program.ConfigChanged{Config: testConfig})...)
			for i := range n {
				out = append(out, s.Reduce(2, program.OpenRequested{Waiter: program.WaiterID(i + 1), Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})...)
				out = append(out, s.Reduce(3, program.CallSubmitted{Waiter: 100, Program: ids.NewProgram("h.1", uint64(i+1)), Call: api.Call{Key: "a", Kind: api.CallModel, Model: &api.ModelCall{Prompt: "p"}}})...)
			}
			out = append(out, s.Reduce(4, program.Committed{UpTo: program.CommitSeq(2 * n)})...)
			out = append(out, s.Reduce(5, program.SchedulerChanged{Group: "lm/0"})...)
			return append(out, s.Reduce(6, program.Fenced{Reason: "test"})...)
		}
		first, second := replay(), replay()
		firstBytes, firstErr := msgpack.Marshal(first)
		secondBytes, secondErr := msgpack.Marshal(second)
		if firstErr != nil || secondErr != nil || !bytes.Equal(firstBytes, secondBytes) {
			t.Fatalf("the same events gave different effects")
		}
	})
}
