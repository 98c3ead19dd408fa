package sched

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

// Periods and ages of the group's upkeep, in milliseconds.
const (
	// rerankPeriod bounds how old the rank of a waiting call can be.
	rerankPeriod clock.Millis = 1000
	// sweepPeriod is how often forgotten programs and calls are looked for.
	sweepPeriod clock.Millis = 10_000
	// settledFor is how long the ID of a finished or withdrawn call is remembered, so that a late copy of its
	// Enqueued gets no second grant. Frames are repeated within seconds of a broken link.
	settledFor clock.Millis = 60_000
	// grantLostAfter is the age at which a grant counts as lost if the home still asks for it.
	grantLostAfter clock.Millis = 1000
	// releaseRepeat and releaseRepeats repeat each release twice within the reconciliation period of 10 s,
	// because a cache report that would show a lost release is late and can have gaps itself.
	releaseRepeat clock.Millis = 3000
	// endedFor is how long an ended program is remembered after it ended or last showed up in a cache report.
	endedFor clock.Millis = 600_000
	// forgottenAfter removes a program without any message: twice the idle_timeout of programs (30 min).
	forgottenAfter clock.Millis = 3_600_000
)

// releaseRepeats is the number of times that a release is sent again.
const releaseRepeats = 2

// call is a waiting or running call with what its home has to be told.
type call struct {
	framework.Call
	id   CallID
	home ids.Journal
	// fresh and urgent are set when the call is enqueued and decide its place in the queue.
	fresh, urgent bool
	// heard is when the home last named the call.
	heard clock.Millis
	// priority is the engine priority of the grant.
	priority int
	// active is what the call counts in the Active of its worker.
	active int64
}

// group is the state of one worker group.
//
// calls holds every call that waits or runs. The waiting calls are in queue; the others count in the Running of their worker. A worker that leaves the group while calls run
// on it stays in workers, unusable, until its last call has ended.
type group struct {
	framework.Group
	name     string
	policies func(string) (framework.Policy, bool)
	policy   framework.Policy
	workers  map[string]*framework.Worker

	calls map[CallID]*call
	queue queue
	seq   uint64

	// settled holds finished and withdrawn calls, refused the refused ones, each until the given time.
	settled map[CallID]clock.Millis
	refused map[CallID]refusedCall
	// ended holds ended programs and the time of the end or of the last report that showed them. releasing
	// holds the releases that are repeated until a report or the last repeat.
	ended     map[ids.Program]clock.Millis
	releasing []release

	lastRerank, lastSweep clock.Millis
	overload              overload
	fairness              fairness
	// blocked and moves are the working state of one dispatch.
	blocked []*framework.Worker
	moves   int
	effects []event.Effect
	// expireAfter is ExpireMS of the last GroupChanged.
	expireAfter clock.Millis
}

func newGroup(name string, at clock.Millis, policies func(string) (framework.Policy, bool)) *group {
	g := &group{
		policies:   policies,
		name:       name,
		workers:    map[string]*framework.Worker{},
		calls:      map[CallID]*call{},
		settled:    map[CallID]clock.Millis{},
		refused:    map[CallID]refusedCall{},
		ended:      map[ids.Program]clock.Millis{},
		lastRerank: at,
		lastSweep:  at,
	}
	g.Programs = map[ids.Program]*framework.Program{}
	g.Agents = map[string]*framework.Agent{}
	g.Tools = map[string]*framework.Tool{}
	g.policy, _ = policies(plugins.Default)
	return g
}

// run applies one event and returns its effects. With dispatch it then hands out free places: events that free or
// add places need that, while a call that is enqueued is tried alone.
func (g *group) run(at clock.Millis, dispatch bool, apply func(*group)) []event.Effect {
	if at > g.Now {
		g.Now = at
	}
	apply(g)
	if dispatch {
		g.dispatch()
	}
	out := g.effects
	g.effects = nil
	return out
}

func (g *group) emit(e event.Effect) { g.effects = append(g.effects, e) }

func (g *group) enqueued(m Enqueued) {
	if c, ok := g.calls[m.Call]; ok {
		g.repeated(c, m)
		return
	}
	if _, ok := g.settled[m.Call]; ok {
		return
	}
	if r, ok := g.refused[m.Call]; ok && m.Running == "" {
		if g.Now < r.until {
			g.emit(Refuse{Call: m.Call, Home: m.Home, Reason: r.reason, RetryAfterMS: int64(r.until - g.Now)})
			return
		}
		delete(g.refused, m.Call)
	}
	p := g.program(m)
	c := &call{id: m.Call, home: m.Home, heard: g.Now}
	c.Call = framework.Call{
		Program:      p,
		EnqueuedAt:   g.Now,
		PromptTokens: m.PromptTokens,
		MaxTokens:    m.MaxTokens,
		Avoid:        m.Avoid,
	}
	g.seq++
	c.Seq = g.seq
	c.fresh, c.urgent = c.First(), p.Class == framework.Urgent
	c.Rank = g.policy.Rank(&g.Group, &c.Call)
	if m.Running != "" {
		g.calls[c.id] = c
		g.start(c, g.worker(m.Running))
		return
	}
	if reason, retryAfter := g.refusal(c); reason != "" {
		g.refuse(c, reason, retryAfter)
		return
	}
	g.calls[c.id] = c
	g.queue.push(c)
	g.grantNew(c)
}

// program returns the program of an enqueued call, with its state brought up to date from the message.
func (g *group) program(m Enqueued) *framework.Program {
	p, ok := g.Programs[m.Call.Program]
	if !ok {
		p = &framework.Program{ID: m.Call.Program, OpenedAt: g.Now - clock.Millis(m.AgeMS)}
		g.Programs[p.ID] = p
		delete(g.ended, p.ID)
		for _, name := range m.Workers {
			// The program ran before this host became the scheduler. The prefix that the last worker holds
			// is at most the prompt; the next cache report corrects it.
			if w, ok := g.workers[name]; ok {
				g.served(p, w)
				p.Last = w
			}
		}
		if m.Turn > 0 {
			p.Started = true
			g.UnderWay++
			if p.Last != nil {
				framework.SetCached(p, p.Last, min(m.PromptTokens, p.Last.CacheTokens), g.Now)
			}
		}
	}
	if p.Agent == nil || p.Agent.Name != m.Agent {
		p.Agent = g.agent(m.Agent)
	}
	p.Class, p.Helper = classOf(m.Class), m.Root != ""
	p.Turn, p.Attained, p.LastSeen = m.Turn, m.AttainedTokens, g.Now
	p.Deadline = 0
	if m.TimeLeftMS > 0 {
		p.Deadline = g.Now + clock.Millis(m.TimeLeftMS)
	}
	if m.PauseTool != "" && m.PausedMS > 0 {
		g.tool(m.PauseTool).Paused(float64(m.PausedMS))
	}
	if m.Turn > 0 && p.History > 0 && m.PromptTokens > p.History {
		p.Agent.Prompt.Add(float64(m.PromptTokens - p.History))
	}
	if m.Turn == 0 {
		p.Agent.First.Add(float64(m.PromptTokens))
	}
	p.PauseTool = ""
	return p
}

func classOf(name string) framework.Class {
	switch name {
	case ClassUrgent:
		return framework.Urgent
	case ClassBatch:
		return framework.Batch
	default:
		return framework.Interactive
	}
}

func (g *group) agent(name string) *framework.Agent {
	a, ok := g.Agents[name]
	if !ok {
		a = &framework.Agent{Name: name}
		g.Agents[name] = a
	}
	return a
}

func (g *group) tool(name string) *framework.Tool {
	t, ok := g.Tools[name]
	if !ok {
		t = &framework.Tool{Name: name}
		g.Tools[name] = t
	}
	return t
}

// worker returns a worker by name. A name that the group's list does not have stands for a worker that
// left: it is kept, unusable, while calls run on it.
func (g *group) worker(name string) *framework.Worker {
	w, ok := g.workers[name]
	if !ok {
		w = &framework.Worker{Name: name}
		g.addWorker(w)
	}
	return w
}

func (g *group) addWorker(w *framework.Worker) {
	g.workers[w.Name] = w
	i := sort.Search(len(g.Workers), func(i int) bool { return g.Workers[i].Name >= w.Name })
	g.Workers = slices.Insert(g.Workers, i, w)
}

func (g *group) served(p *framework.Program, w *framework.Worker) {
	if !slices.Contains(p.Served, w) {
		p.Served = append(p.Served, w)
	}
}

// start accounts for a call in flight on w.
func (g *group) start(c *call, w *framework.Worker) {
	p := c.Program
	c.Worker, c.GrantedAt = w, g.Now
	w.Running++
	c.active = c.Size()
	w.Active += c.active
	p.Running++
	if c.fresh {
		g.overload.started(g.Now)
	}
	if !p.Started {
		p.Started = true
		g.UnderWay++
	}
	p.Last = w
	g.served(p, w)
	if w.CacheTokens > 0 {
		framework.SetCached(p, w, max(c.PromptTokens, p.Cached(w)), g.Now)
	}
	p.History = max(p.History, c.PromptTokens)
	p.Settle(w, c.Rank)
}

func (g *group) finished(m Finished) {
	g.settled[m.Call] = g.Now + settledFor
	c, ok := g.calls[m.Call]
	if !ok {
		return
	}
	delete(g.calls, m.Call)
	if c.Worker == nil {
		// The home ran the call on a grant of the previous scheduler.
		g.queue.remove(c)
		return
	}
	w, p := c.Worker, c.Program
	g.leave(c)
	if _, over := g.ended[p.ID]; over && w.CacheTokens > 0 {
		// The release that followed the end of the program could not free the blocks of a running call.
		g.emit(ReleaseCache{Group: g.name, Worker: w.Name, Program: p.ID})
	}
	p.LastSeen, p.LastFinished, p.PauseTool = g.Now, g.Now, m.NextTool
	if m.Failed {
		return
	}
	p.Turn++
	p.Agent.Turns.Reached(p.Turn)
	p.History = m.PromptTokens + m.GeneratedTokens
	p.Agent.Generated.Add(float64(m.GeneratedTokens))
	p.Agent.ServiceMS.Add(float64(g.Now - c.GrantedAt))
	g.overload.served(float64(g.Now - c.GrantedAt))
	if w.CacheTokens > 0 && g.Programs[p.ID] == p {
		framework.SetCached(p, w, p.History, g.Now)
		p.Settle(w, g.policy.Rank(&g.Group, &c.Call))
	}
}

// leave takes a running call off its worker.
func (g *group) leave(c *call) {
	w := c.Worker
	w.Running--
	w.Active -= c.active
	c.Program.Running--
	c.Worker = nil
	if w.Running == 0 && w.MaxRunning == 0 {
		g.dropWorker(w)
	}
}

// repeated takes a second message about a call that is known here.
func (g *group) repeated(c *call, m Enqueued) {
	c.heard = g.Now
	switch {
	case m.Running != "" && c.Worker == nil:
		// A grant of the previous scheduler reached the home after it had enqueued the call here.
		g.queue.remove(c)
		g.start(c, g.worker(m.Running))
	case m.Running == "" && c.Worker != nil && g.Now-c.GrantedAt >= grantLostAfter:
		// The home still waits, so the grant was lost. Homes ignore a grant that comes twice.
		g.emit(Grant{Call: c.id, Group: g.name, Home: c.home, Worker: c.Worker.Name, Priority: c.priority})
	}
}

// expire drops calls that their homes have not named for so long that the message that ended them must have
// been lost. A home that still wants such a call enqueues it again with its next refresh.
func (g *group) expire() {
	if g.expireAfter == 0 {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(g.calls), compareCallIDs) {
		c := g.calls[id]
		if g.Now-c.heard < g.expireAfter {
			continue
		}
		delete(g.calls, id)
		if c.Worker != nil {
			g.leave(c)
		} else {
			g.queue.remove(c)
		}
	}
}

func compareCallIDs(a, b CallID) int {
	return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Attempt, b.Attempt))
}

func (g *group) withdrawn(m Withdrawn) {
	g.settled[m.Call] = g.Now + settledFor
	if c, ok := g.calls[m.Call]; ok {
		delete(g.calls, m.Call)
		if c.Worker != nil {
			g.leave(c)
		} else {
			g.queue.remove(c)
		}
	}
}

func (g *group) programEnded(m ProgramEnded) {
	if _, again := g.ended[m.Program]; again {
		return
	}
	g.ended[m.Program] = g.Now
	p, ok := g.Programs[m.Program]
	if !ok {
		return
	}
	p.Agent.Turns.Ended(m.Turns)
	g.forget(p)
	for _, w := range p.Served {
		if w.CacheTokens > 0 {
			g.emit(ReleaseCache{Group: g.name, Worker: w.Name, Program: p.ID})
			g.releasing = append(g.releasing, release{p.ID, w.Name, g.Now + releaseRepeat, releaseRepeats})
		}
	}
}

// release is a cache release that is sent again, because the message can get lost.
type release struct {
	program ids.Program
	worker  string
	next    clock.Millis
	left    int
}

// repeatReleases sends the releases again that are due. Releasing twice does no harm.
func (g *group) repeatReleases() {
	kept := g.releasing[:0]
	for _, r := range g.releasing {
		if _, ended := g.ended[r.program]; !ended {
			continue
		}
		if g.Now >= r.next {
			g.emit(ReleaseCache{Group: g.name, Worker: r.worker, Program: r.program})
			r.next, r.left = g.Now+releaseRepeat, r.left-1
		}
		if r.left > 0 {
			kept = append(kept, r)
		}
	}
	g.releasing = kept
}

// forget removes a program, its waiting calls and its cache estimate. Calls in flight stay accounted for
// until their homes report the end.
func (g *group) forget(p *framework.Program) {
	if p.Waiting > 0 {
		for _, c := range g.queue.all() {
			if c.Program == p {
				delete(g.calls, c.id)
				g.settled[c.id] = g.Now + settledFor
				g.queue.remove(c)
			}
		}
	}
	for len(p.Entries()) > 0 {
		framework.DropCached(p, p.Entries()[0].Worker)
	}
	p.Settle(nil, 0)
	if p.Started {
		g.UnderWay--
	}
	delete(g.Programs, p.ID)
}

func (g *group) changed(m GroupChanged) {
	g.expireAfter = clock.Millis(m.ExpireMS)
	name := m.Policy
	if name == "" {
		name = plugins.Default
	}
	if name != g.policy.Name() {
		if p, ok := g.policies(name); ok {
			g.policy = p
			g.rerank()
		}
	}
	listed := map[string]bool{}
	for _, spec := range m.Workers {
		listed[spec.Name] = true
		w := g.worker(spec.Name)
		w.Usable, w.MaxRunning, w.CacheTokens = spec.Usable, spec.MaxRunning, spec.CacheTokens
	}
	for _, w := range slices.Clone(g.Workers) {
		if !listed[w.Name] {
			w.Usable, w.MaxRunning, w.CacheTokens = false, 0, 0
			if w.Running == 0 {
				g.dropWorker(w)
			}
		}
	}
}

// dropWorker removes a worker that left the group and has no calls in flight.
func (g *group) dropWorker(w *framework.Worker) {
	for _, p := range g.Programs {
		if p.Resident() == w {
			p.Settle(nil, 0)
		}
	}
	framework.EachEntry(w, func(e *framework.Entry) { framework.DropCached(e.Program, w) })
	delete(g.workers, w.Name)
	g.Workers = slices.DeleteFunc(g.Workers, func(o *framework.Worker) bool { return o == w })
}

// loadReported does not change any count: the count of calls in flight is exact, and the report is late.
func (g *group) loadReported(LoadReported) {}

// cacheReported corrects the estimate for one worker and releases again what ended programs still hold.
func (g *group) cacheReported(m CacheReported) {
	w, ok := g.workers[m.Worker]
	if !ok {
		return
	}
	taken := g.Now - clock.Millis(m.AgeMS)
	seen := make(map[ids.Program]bool, len(m.Programs))
	for _, h := range m.Programs {
		seen[h.Program] = true
		if _, ok := g.ended[h.Program]; ok {
			g.ended[h.Program] = g.Now
			if h.Tokens > 0 {
				g.emit(ReleaseCache{Group: g.name, Worker: w.Name, Program: h.Program})
			}
			continue
		}
		p, ok := g.Programs[h.Program]
		if !ok {
			continue
		}
		g.served(p, w)
		e := p.Entry(w)
		switch {
		case e == nil:
			if p.LastFinished < taken {
				framework.SetCached(p, w, h.Tokens, taken)
			}
		case e.UsedAt < taken && p.Running == 0:
			framework.CorrectCached(e, h.Tokens)
		}
	}
	framework.EachEntry(w, func(e *framework.Entry) {
		if !seen[e.Program.ID] && e.UsedAt < taken && !(e.Program.Running > 0 && e.Program.Last == w) {
			framework.DropCached(e.Program, w)
		}
	})
}

func (g *group) homeLost(m HomeLost) {
	var lost []*call
	for _, c := range g.calls {
		if c.home == m.Home {
			lost = append(lost, c)
		}
	}
	for _, c := range lost {
		delete(g.calls, c.id)
		if c.Worker != nil {
			g.leave(c)
		} else {
			g.queue.remove(c)
		}
	}
}

func (g *group) ticked() {
	if g.Now-g.lastRerank >= rerankPeriod {
		g.lastRerank = g.Now
		g.rerank()
		g.reviewPauses()
	}
	g.refuseOverdue()
	g.repeatReleases()
	if g.Now-g.lastSweep >= sweepPeriod {
		g.lastSweep = g.Now
		g.sweep()
		g.expire()
	}
}

// reviewPauses takes the place in the cache from programs whose pause is expected to go on for long. Their
// prefix stays cached until the engine needs the memory.
func (g *group) reviewPauses() {
	pauser, ok := g.policy.(framework.Pauser)
	if !ok {
		return
	}
	for _, w := range g.Workers {
		w.EachResident(func(p *framework.Program) {
			if p.Running == 0 && p.Waiting == 0 && !pauser.Keep(&g.Group, p, g.Now-p.LastFinished) {
				p.Settle(nil, 0)
			}
		})
	}
}

// sweep forgets settled calls, refused calls and programs that are too old to matter.
func (g *group) sweep() {
	for id, until := range g.settled {
		if g.Now >= until {
			delete(g.settled, id)
		}
	}
	for id, r := range g.refused {
		if g.Now >= r.until {
			delete(g.refused, id)
		}
	}
	for id, at := range g.ended {
		if g.Now-at >= endedFor {
			delete(g.ended, id)
		}
	}
	for _, p := range g.Programs {
		if p.Waiting == 0 && p.Running == 0 && g.Now-p.LastSeen >= forgottenAfter {
			g.forget(p)
		}
	}
}

func (g *group) rerank() {
	for _, c := range g.queue.all() {
		c.Rank = g.policy.Rank(&g.Group, &c.Call)
	}
	g.queue.sort()
}
