package sched

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

// Intervals, delays and TTLs of the group's maintenance, in milliseconds.
const (
	// rerankInterval bounds the age of a waiting call's rank.
	rerankInterval clock.Millis = 1000
	// sweepInterval is how often expired calls and programs are removed.
	sweepInterval clock.Millis = 10_000
	// endedCallTTL is how long the ID of a finished or withdrawn call is kept, so that a late copy of its Enqueued
	// gets no second grant. Frames are sent again within seconds after a connection breaks.
	endedCallTTL clock.Millis = 60_000
	// grantResendTimeout is the age at which a grant counts as lost if the home still sends Enqueued for the call.
	grantResendTimeout clock.Millis = 1000
	// releaseRepeatInterval and maxReleaseRepeats send each release twice more within the reconciliation interval of
	// 10 s, because the cache report that would show a lost release arrives late and can be incomplete.
	releaseRepeatInterval clock.Millis = 3000
	// endedProgramTTL is how long an ended program's ID is kept after its end or its last entry in a cache report.
	endedProgramTTL clock.Millis = 600_000
	// programIdleTTL is the time without a message after which a program's state is removed: twice the
	// idle_timeout of programs (30 min).
	programIdleTTL clock.Millis = 3_600_000
)

const maxReleaseRepeats = 2

// call is a waiting or running call, with the addressing and bookkeeping that policies don't see.
type call struct {
	framework.Call
	id   CallID
	home ids.Journal
	// startsNewWork and urgent are fixed when the call is enqueued, because the order of the queue depends on them.
	startsNewWork, urgent bool
	// lastRefreshAt is when the home last sent Enqueued for the call.
	lastRefreshAt clock.Millis
	fingerprints  poison.Chain
	// enginePriority is the Priority of the grant.
	enginePriority int
	// reservedTokens is the part of the worker's ReservedTokens that is due to this call.
	reservedTokens int64
}

// group is the state of one worker group.
//
// calls holds every waiting and running call. Waiting calls are also in queue; running calls count in their
// worker's Running. A worker that leaves the group while calls run on it stays in Workers, unusable, until its
// last call ends.
type group struct {
	framework.Group
	name          string
	lookupPolicy  func(string) (framework.Policy, bool)
	policy        framework.Policy
	workersByName map[string]*framework.Worker

	calls   map[CallID]*call
	queue   queue
	lastSeq uint64

	// endedCalls holds the finished and withdrawn calls, each until the given time; refusedCalls holds the refused
	// ones.
	endedCalls   map[CallID]clock.Millis
	refusedCalls map[CallID]refusedCall
	// endedPrograms holds the ended programs with the time of their end or of the last cache report that listed
	// them. pendingReleases holds the releases that are still to be repeated.
	endedPrograms   map[ids.Program]clock.Millis
	pendingReleases []pendingRelease

	lastRerank, lastSweep clock.Millis
	throughput            throughputEstimator
	aging                 agingCounter
	// blockedWorkers and moveAttempts are the working state of one dispatch.
	blockedWorkers []*framework.Worker
	moveAttempts   int
	effects        []event.Effect
	// poison holds the records of calls that end workers, and workerEnds the last end of each worker.
	poison     *poison.Table
	workerEnds map[string]workerEnd
	// callTTL is CallTTLMS of the last GroupChanged.
	callTTL clock.Millis
}

func newGroup(name string, at clock.Millis, lookupPolicy func(string) (framework.Policy, bool)) *group {
	g := &group{
		lookupPolicy:  lookupPolicy,
		name:          name,
		workersByName: map[string]*framework.Worker{},
		calls:         map[CallID]*call{},
		endedCalls:    map[CallID]clock.Millis{},
		refusedCalls:  map[CallID]refusedCall{},
		endedPrograms: map[ids.Program]clock.Millis{},
		poison:        poison.NewTable(),
		workerEnds:    map[string]workerEnd{},
		lastRerank:    at,
		lastSweep:     at,
	}
	g.Programs = map[ids.Program]*framework.Program{}
	g.Agents = map[string]*framework.AgentStats{}
	g.Tools = map[string]*framework.ToolStats{}
	g.policy, _ = lookupPolicy(plugins.Default)
	return g
}

// reduce applies one event and returns its effects. With dispatch it then grants waiting calls, which events that
// can free or add slots need; an enqueued call is tried on its own.
func (g *group) reduce(at clock.Millis, dispatch bool, apply func(*group)) []event.Effect {
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

func (g *group) handleEnqueued(m Enqueued) {
	if c, ok := g.calls[m.Call]; ok {
		g.refreshCall(c, m)
		return
	}
	if _, ok := g.endedCalls[m.Call]; ok {
		return
	}
	if r, ok := g.refusedCalls[m.Call]; ok && m.RunningOn == "" {
		if g.Now < r.retryAt {
			g.emit(Refuse{Call: m.Call, Home: m.Home, Reason: r.reason, RetryAfterMS: int64(r.retryAt - g.Now)})
			return
		}
		delete(g.refusedCalls, m.Call)
	}
	p := g.updateProgram(m)
	c := &call{id: m.Call, home: m.Home, lastRefreshAt: g.Now, fingerprints: m.Fingerprints}
	c.Call = framework.Call{
		Program:      p,
		EnqueuedAt:   g.Now,
		PromptTokens: m.PromptTokens,
		MaxTokens:    m.MaxTokens,
		AvoidWorkers: m.AvoidWorkers,
	}
	g.lastSeq++
	c.Seq = g.lastSeq
	c.startsNewWork, c.urgent = c.StartsNewWork(), p.Class == framework.Urgent
	c.Rank = g.policy.Rank(&g.Group, &c.Call)
	if m.RunningOn != "" {
		g.calls[c.id] = c
		g.addToWorker(c, g.ensureWorker(m.RunningOn))
		return
	}
	if reason, retryAfter := g.checkAdmission(c); reason != "" {
		g.refuse(c, reason, retryAfter)
		return
	}
	g.calls[c.id] = c
	g.queue.insert(c)
	g.grantOnArrival(c)
}

// updateProgram updates the program of an enqueued call from the message, or adds it, and returns it.
func (g *group) updateProgram(m Enqueued) *framework.Program {
	p, ok := g.Programs[m.Call.Program]
	if !ok {
		p = &framework.Program{ID: m.Call.Program, OpenedAt: g.Now - clock.Millis(m.AgeMS)}
		g.Programs[p.ID] = p
		delete(g.endedPrograms, p.ID)
		for _, name := range m.ServedBy {
			// The program ran before this host became the scheduler. The last worker's cached prefix is at most
			// the prompt; the next cache report corrects the estimate.
			if w, ok := g.workersByName[name]; ok {
				g.addServedBy(p, w)
				p.LastWorker = w
			}
		}
		if m.Turns > 0 {
			p.Started = true
			g.StartedPrograms++
			if p.LastWorker != nil {
				framework.SetCachedTokens(p, p.LastWorker, min(m.PromptTokens, p.LastWorker.CacheCapacityTokens), g.Now)
			}
		}
	}
	if p.Agent == nil || p.Agent.Name != m.Agent {
		p.Agent = g.ensureAgent(m.Agent)
	}
	p.Class, p.IsChild = classOf(m.Class), m.RootProgram != ""
	p.Turns, p.AttainedTokens, p.LastSeen = m.Turns, m.AttainedTokens, g.Now
	p.Deadline = 0
	if m.TimeLeftMS > 0 {
		p.Deadline = g.Now + clock.Millis(m.TimeLeftMS)
	}
	if m.PauseTool != "" && m.PausedMS > 0 {
		g.ensureTool(m.PauseTool).AddPause(float64(m.PausedMS))
	}
	if m.Turns > 0 && p.HistoryTokens > 0 && m.PromptTokens > p.HistoryTokens {
		p.Agent.PromptGrowthTokens.Add(float64(m.PromptTokens - p.HistoryTokens))
	}
	if m.Turns == 0 {
		p.Agent.FirstPromptTokens.Add(float64(m.PromptTokens))
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

func (g *group) ensureAgent(name string) *framework.AgentStats {
	a, ok := g.Agents[name]
	if !ok {
		a = &framework.AgentStats{Name: name}
		g.Agents[name] = a
	}
	return a
}

func (g *group) ensureTool(name string) *framework.ToolStats {
	t, ok := g.Tools[name]
	if !ok {
		t = &framework.ToolStats{Name: name}
		g.Tools[name] = t
	}
	return t
}

// ensureWorker returns a worker by name, or adds it as unusable: a running call can name a worker that has left the
// group, which is kept while calls run on it.
func (g *group) ensureWorker(name string) *framework.Worker {
	w, ok := g.workersByName[name]
	if !ok {
		w = &framework.Worker{Name: name}
		g.addWorker(w)
	}
	return w
}

func (g *group) addWorker(w *framework.Worker) {
	g.workersByName[w.Name] = w
	i := sort.Search(len(g.Workers), func(i int) bool { return g.Workers[i].Name >= w.Name })
	g.Workers = slices.Insert(g.Workers, i, w)
}

func (g *group) addServedBy(p *framework.Program, w *framework.Worker) {
	if !slices.Contains(p.ServedBy, w) {
		p.ServedBy = append(p.ServedBy, w)
	}
}

// addToWorker records that the call runs on w and reserves the cache that it needs at its end.
func (g *group) addToWorker(c *call, w *framework.Worker) {
	p := c.Program
	c.Worker, c.GrantedAt = w, g.Now
	w.Running++
	c.reservedTokens = c.PeakCacheTokens()
	w.ReservedTokens += c.reservedTokens
	p.Running++
	if c.startsNewWork {
		g.throughput.addStart(g.Now)
	}
	if !p.Started {
		p.Started = true
		g.StartedPrograms++
	}
	p.LastWorker = w
	g.addServedBy(p, w)
	if w.CacheCapacityTokens > 0 {
		framework.SetCachedTokens(p, w, max(c.PromptTokens, p.CachedTokens(w)), g.Now)
	}
	p.HistoryTokens = max(p.HistoryTokens, c.PromptTokens)
	p.SetResidentWorker(w, c.Rank)
}

func (g *group) handleFinished(m Finished) {
	g.endedCalls[m.Call] = g.Now + endedCallTTL
	c, ok := g.calls[m.Call]
	if !ok {
		return
	}
	delete(g.calls, m.Call)
	if c.Worker == nil {
		// The home dispatched the call on a grant of the previous scheduler.
		g.queue.remove(c)
		return
	}
	w, p := c.Worker, c.Program
	g.removeFromWorker(c)
	g.recordOutcome(c, w, m)
	if _, ended := g.endedPrograms[p.ID]; ended && w.CacheCapacityTokens > 0 {
		// The release at the end of the program could not free the cache of its running call.
		g.emit(ReleaseCache{Group: g.name, Worker: w.Name, Program: p.ID})
	}
	p.LastSeen, p.LastFinished, p.PauseTool = g.Now, g.Now, m.NextTool
	if m.Failed {
		return
	}
	p.Turns++
	p.Agent.TurnStats.RecordReached(p.Turns)
	p.HistoryTokens = m.PromptTokens + m.GeneratedTokens
	p.Agent.GeneratedTokens.Add(float64(m.GeneratedTokens))
	p.Agent.ServiceMS.Add(float64(g.Now - c.GrantedAt))
	g.throughput.addServiceTime(float64(g.Now - c.GrantedAt))
	if w.CacheCapacityTokens > 0 && g.Programs[p.ID] == p {
		framework.SetCachedTokens(p, w, p.HistoryTokens, g.Now)
		p.SetResidentWorker(w, g.policy.Rank(&g.Group, &c.Call))
	}
}

// removeFromWorker releases the slot and the reserved cache of a running call.
func (g *group) removeFromWorker(c *call) {
	w := c.Worker
	w.Running--
	w.ReservedTokens -= c.reservedTokens
	c.Program.Running--
	c.Worker = nil
	if w.Running == 0 && w.MaxRunning == 0 {
		g.removeWorker(w)
	}
}

// refreshCall handles a repeated Enqueued of a waiting or running call.
func (g *group) refreshCall(c *call, m Enqueued) {
	c.lastRefreshAt = g.Now
	switch {
	case m.RunningOn != "" && c.Worker == nil:
		// A grant of the previous scheduler reached the home after it had enqueued the call here.
		g.queue.remove(c)
		g.addToWorker(c, g.ensureWorker(m.RunningOn))
	case m.RunningOn == "" && c.Worker != nil && g.Now-c.GrantedAt >= grantResendTimeout:
		// The home still waits, so the grant was lost. Homes ignore a repeated grant.
		g.emit(Grant{Call: c.id, Group: g.name, Home: c.home, Worker: c.Worker.Name, Priority: c.enginePriority})
	}
}

// expireCalls drops the calls that their homes have not refreshed for callTTL, so that the message that ended them
// must have been lost. A home that still needs such a call enqueues it again with its next refresh.
func (g *group) expireCalls() {
	if g.callTTL == 0 {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(g.calls), compareCallIDs) {
		c := g.calls[id]
		if g.Now-c.lastRefreshAt < g.callTTL {
			continue
		}
		delete(g.calls, id)
		if c.Worker != nil {
			g.removeFromWorker(c)
		} else {
			g.queue.remove(c)
		}
	}
}

func compareCallIDs(a, b CallID) int {
	return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Attempt, b.Attempt))
}

func (g *group) handleWithdrawn(m Withdrawn) {
	g.endedCalls[m.Call] = g.Now + endedCallTTL
	if c, ok := g.calls[m.Call]; ok {
		delete(g.calls, m.Call)
		if c.Worker != nil {
			g.removeFromWorker(c)
		} else {
			g.queue.remove(c)
		}
	}
}

func (g *group) handleProgramEnded(m ProgramEnded) {
	if _, ended := g.endedPrograms[m.Program]; ended {
		return
	}
	g.endedPrograms[m.Program] = g.Now
	p, ok := g.Programs[m.Program]
	if !ok {
		return
	}
	p.Agent.TurnStats.RecordEnded(m.Turns)
	g.removeProgram(p)
	for _, w := range p.ServedBy {
		if w.CacheCapacityTokens > 0 {
			g.emit(ReleaseCache{Group: g.name, Worker: w.Name, Program: p.ID})
			g.pendingReleases = append(g.pendingReleases, pendingRelease{p.ID, w.Name, g.Now + releaseRepeatInterval, maxReleaseRepeats})
		}
	}
}

// pendingRelease is a cache release that is sent again, because the message can be lost.
type pendingRelease struct {
	program     ids.Program
	worker      string
	nextAt      clock.Millis
	repeatsLeft int
}

// repeatReleases sends the due releases again; a release is idempotent.
func (g *group) repeatReleases() {
	remaining := g.pendingReleases[:0]
	for _, r := range g.pendingReleases {
		if _, ended := g.endedPrograms[r.program]; !ended {
			continue
		}
		if g.Now >= r.nextAt {
			g.emit(ReleaseCache{Group: g.name, Worker: r.worker, Program: r.program})
			r.nextAt, r.repeatsLeft = g.Now+releaseRepeatInterval, r.repeatsLeft-1
		}
		if r.repeatsLeft > 0 {
			remaining = append(remaining, r)
		}
	}
	g.pendingReleases = remaining
}

// removeProgram removes a program, its waiting calls and its cache estimate. Its running calls keep their slots
// until their homes report the end.
func (g *group) removeProgram(p *framework.Program) {
	if p.Waiting > 0 {
		for _, c := range g.queue.all() {
			if c.Program == p {
				delete(g.calls, c.id)
				g.endedCalls[c.id] = g.Now + endedCallTTL
				g.queue.remove(c)
			}
		}
	}
	for len(p.CacheEntries()) > 0 {
		framework.DropCacheEntry(p, p.CacheEntries()[0].Worker)
	}
	p.SetResidentWorker(nil, 0)
	if p.Started {
		g.StartedPrograms--
	}
	delete(g.Programs, p.ID)
}

func (g *group) handleGroupChanged(m GroupChanged) {
	g.callTTL = clock.Millis(m.CallTTLMS)
	name := m.Policy
	if name == "" {
		name = plugins.Default
	}
	if name != g.policy.Name() {
		if p, ok := g.lookupPolicy(name); ok {
			g.policy = p
			g.rerank()
		}
	}
	listed := map[string]bool{}
	for _, spec := range m.Workers {
		listed[spec.Name] = true
		w := g.ensureWorker(spec.Name)
		w.Usable, w.MaxRunning, w.CacheCapacityTokens = spec.Usable, spec.MaxRunning, spec.CacheCapacityTokens
	}
	for _, w := range slices.Clone(g.Workers) {
		if !listed[w.Name] {
			w.Usable, w.MaxRunning, w.CacheCapacityTokens = false, 0, 0
			if w.Running == 0 {
				g.removeWorker(w)
			}
		}
	}
}

// removeWorker removes a worker that has left the group and has no running calls.
func (g *group) removeWorker(w *framework.Worker) {
	for _, p := range g.Programs {
		if p.ResidentWorker() == w {
			p.SetResidentWorker(nil, 0)
		}
	}
	framework.EachCacheEntry(w, func(e *framework.CacheEntry) { framework.DropCacheEntry(e.Program, w) })
	delete(g.workersByName, w.Name)
	g.Workers = slices.DeleteFunc(g.Workers, func(o *framework.Worker) bool { return o == w })
}

// handleLoadReported ignores the report: the scheduler's own count of running calls is exact, and the report is
// late.
func (g *group) handleLoadReported(LoadReported) {}

// handleCacheReported corrects the estimate for one worker and releases the remaining cache of ended programs again.
// Entries that were used after the report was taken keep their estimate.
func (g *group) handleCacheReported(m CacheReported) {
	w, ok := g.workersByName[m.Worker]
	if !ok {
		return
	}
	takenAt := g.Now - clock.Millis(m.AgeMS)
	seen := make(map[ids.Program]bool, len(m.Programs))
	for _, reported := range m.Programs {
		seen[reported.Program] = true
		if _, ok := g.endedPrograms[reported.Program]; ok {
			g.endedPrograms[reported.Program] = g.Now
			if reported.Tokens > 0 {
				g.emit(ReleaseCache{Group: g.name, Worker: w.Name, Program: reported.Program})
			}
			continue
		}
		p, ok := g.Programs[reported.Program]
		if !ok {
			continue
		}
		g.addServedBy(p, w)
		e := p.CacheEntry(w)
		switch {
		case e == nil:
			if p.LastFinished < takenAt {
				framework.SetCachedTokens(p, w, reported.Tokens, takenAt)
			}
		case e.LastUsedAt < takenAt && p.Running == 0:
			framework.CorrectCachedTokens(e, reported.Tokens)
		}
	}
	framework.EachCacheEntry(w, func(e *framework.CacheEntry) {
		if !seen[e.Program.ID] && e.LastUsedAt < takenAt && !(e.Program.Running > 0 && e.Program.LastWorker == w) {
			framework.DropCacheEntry(e.Program, w)
		}
	})
}

func (g *group) handleHomeLost(m HomeLost) {
	var lost []*call
	for _, c := range g.calls {
		if c.home == m.Home {
			lost = append(lost, c)
		}
	}
	for _, c := range lost {
		delete(g.calls, c.id)
		if c.Worker != nil {
			g.removeFromWorker(c)
		} else {
			g.queue.remove(c)
		}
	}
}

func (g *group) handleTicked() {
	if g.Now-g.lastRerank >= rerankInterval {
		g.lastRerank = g.Now
		g.rerank()
		g.evictPausedResidents()
	}
	g.refuseOverdue()
	g.repeatReleases()
	if g.Now-g.lastSweep >= sweepInterval {
		g.lastSweep = g.Now
		g.removeExpired()
		g.expireCalls()
	}
}

// evictPausedResidents ends the residency of programs for whose pause the policy doesn't keep it. Their prefix stays
// cached until the engine needs the memory.
func (g *group) evictPausedResidents() {
	residency, ok := g.policy.(framework.ResidencyPolicy)
	if !ok {
		return
	}
	for _, w := range g.Workers {
		w.EachResident(func(p *framework.Program) {
			if p.Running == 0 && p.Waiting == 0 && !residency.KeepResident(&g.Group, p, g.Now-p.LastFinished) {
				p.SetResidentWorker(nil, 0)
			}
		})
	}
}

// removeExpired removes the ended and refused calls and the ended and idle programs whose retention has passed.
func (g *group) removeExpired() {
	g.expirePoison()
	for id, until := range g.endedCalls {
		if g.Now >= until {
			delete(g.endedCalls, id)
		}
	}
	for id, r := range g.refusedCalls {
		if g.Now >= r.retryAt {
			delete(g.refusedCalls, id)
		}
	}
	for id, at := range g.endedPrograms {
		if g.Now-at >= endedProgramTTL {
			delete(g.endedPrograms, id)
		}
	}
	for _, p := range g.Programs {
		if p.Waiting == 0 && p.Running == 0 && g.Now-p.LastSeen >= programIdleTTL {
			g.removeProgram(p)
		}
	}
}

func (g *group) rerank() {
	for _, c := range g.queue.all() {
		c.Rank = g.policy.Rank(&g.Group, &c.Call)
	}
	g.queue.sort()
}
