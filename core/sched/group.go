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
	// endedCallTTL is how long the ID of a finished or withdrawn call is remembered, so that a late copy of its
	// Enqueued gets no second grant. Frames are repeated within seconds of a broken link.
	endedCallTTL clock.Millis = 60_000
	// grantResendAfter is the age at which a grant counts as lost if the home still asks for it.
	grantResendAfter clock.Millis = 1000
	// releaseRepeatPeriod and releaseRepeats repeat each release twice within the reconciliation period of 10 s,
	// because a cache report that would show a lost release is late and can have gaps itself.
	releaseRepeatPeriod clock.Millis = 3000
	// endedProgramTTL is how long an ended program is remembered after it ended or last showed up in a cache report.
	endedProgramTTL clock.Millis = 600_000
	// programIdleTTL removes a program without any message: twice the idle_timeout of programs (30 min).
	programIdleTTL clock.Millis = 3_600_000
)

// maxReleaseRepeats is the number of times that a release is sent again.
const maxReleaseRepeats = 2

// call is a waiting or running call with what its home has to be told.
type call struct {
	framework.Call
	id   CallID
	home ids.Journal
	// startsNewWork and urgent are set when the call is enqueued and decide its place in the queue.
	startsNewWork, urgent bool
	// lastRefreshAt is when the home last named the call.
	lastRefreshAt clock.Millis
	// enginePriority is the engine priority of the grant.
	enginePriority int
	// reservedTokens is what the call counts in the Active of its worker.
	reservedTokens int64
}

// group is the state of one worker group.
//
// calls holds every call that waits or runs. The waiting calls are in queue; the others count in the Running of their worker. A worker that leaves the group while calls run
// on it stays in workers, unusable, until its last call has ended.
type group struct {
	framework.Group
	name          string
	lookupPolicy  func(string) (framework.Policy, bool)
	policy        framework.Policy
	workersByName map[string]*framework.Worker

	calls   map[CallID]*call
	queue   queue
	lastSeq uint64

	// endedCalls holds finished and withdrawn calls, refused the refused ones, each until the given time.
	endedCalls   map[CallID]clock.Millis
	refusedCalls map[CallID]refusedCall
	// endedPrograms holds ended programs and the time of the end or of the last report that showed them. releasing
	// holds the releases that are repeated until a report or the last repeat.
	endedPrograms   map[ids.Program]clock.Millis
	pendingReleases []pendingRelease

	lastRerank, lastSweep clock.Millis
	throughput            throughputEstimator
	aging                 agingCounter
	// blockedWorkers and moves are the working state of one dispatch.
	blockedWorkers []*framework.Worker
	moveAttempts   int
	effects        []event.Effect
	// callTTL is ExpireMS of the last GroupChanged.
	callTTL clock.Millis
}

func newGroup(name string, at clock.Millis, policies func(string) (framework.Policy, bool)) *group {
	g := &group{
		lookupPolicy:  policies,
		name:          name,
		workersByName: map[string]*framework.Worker{},
		calls:         map[CallID]*call{},
		endedCalls:    map[CallID]clock.Millis{},
		refusedCalls:  map[CallID]refusedCall{},
		endedPrograms: map[ids.Program]clock.Millis{},
		lastRerank:    at,
		lastSweep:     at,
	}
	g.Programs = map[ids.Program]*framework.Program{}
	g.Agents = map[string]*framework.AgentStats{}
	g.Tools = map[string]*framework.ToolStats{}
	g.policy, _ = policies(plugins.Default)
	return g
}

// reduce applies one event and returns its effects. With dispatch it then hands out free places: events that free or
// add places need that, while a call that is enqueued is tried alone.
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
	c := &call{id: m.Call, home: m.Home, lastRefreshAt: g.Now}
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

// updateProgram returns the program of an enqueued call, with its state brought up to date from the message.
func (g *group) updateProgram(m Enqueued) *framework.Program {
	p, ok := g.Programs[m.Call.Program]
	if !ok {
		p = &framework.Program{ID: m.Call.Program, OpenedAt: g.Now - clock.Millis(m.AgeMS)}
		g.Programs[p.ID] = p
		delete(g.endedPrograms, p.ID)
		for _, name := range m.ServedBy {
			// The program ran before this host became the scheduler. The prefix that the last worker holds
			// is at most the prompt; the next cache report corrects it.
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

// ensureWorker returns a worker by name. A name that the group's list does not have stands for a worker that
// left: it is kept, unusable, while calls run on it.
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

// addToWorker accounts for a call in flight on w.
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
		// The home ran the call on a grant of the previous scheduler.
		g.queue.remove(c)
		return
	}
	w, p := c.Worker, c.Program
	g.removeFromWorker(c)
	if _, over := g.endedPrograms[p.ID]; over && w.CacheCapacityTokens > 0 {
		// The release that followed the end of the program could not free the blocks of a running call.
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

// removeFromWorker takes a running call off its worker.
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

// refreshCall takes a second message about a call that is known here.
func (g *group) refreshCall(c *call, m Enqueued) {
	c.lastRefreshAt = g.Now
	switch {
	case m.RunningOn != "" && c.Worker == nil:
		// A grant of the previous scheduler reached the home after it had enqueued the call here.
		g.queue.remove(c)
		g.addToWorker(c, g.ensureWorker(m.RunningOn))
	case m.RunningOn == "" && c.Worker != nil && g.Now-c.GrantedAt >= grantResendAfter:
		// The home still waits, so the grant was lost. Homes ignore a grant that comes twice.
		g.emit(Grant{Call: c.id, Group: g.name, Home: c.home, Worker: c.Worker.Name, Priority: c.enginePriority})
	}
}

// expireCalls drops calls that their homes have not named for so long that the message that ended them must have
// been lost. A home that still wants such a call enqueues it again with its next refresh.
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
	if _, again := g.endedPrograms[m.Program]; again {
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
			g.pendingReleases = append(g.pendingReleases, pendingRelease{p.ID, w.Name, g.Now + releaseRepeatPeriod, maxReleaseRepeats})
		}
	}
}

// pendingRelease is a cache release that is sent again, because the message can get lost.
type pendingRelease struct {
	program     ids.Program
	worker      string
	nextAt      clock.Millis
	repeatsLeft int
}

// repeatReleases sends the releases again that are due. Releasing twice does no harm.
func (g *group) repeatReleases() {
	kept := g.pendingReleases[:0]
	for _, r := range g.pendingReleases {
		if _, ended := g.endedPrograms[r.program]; !ended {
			continue
		}
		if g.Now >= r.nextAt {
			g.emit(ReleaseCache{Group: g.name, Worker: r.worker, Program: r.program})
			r.nextAt, r.repeatsLeft = g.Now+releaseRepeatPeriod, r.repeatsLeft-1
		}
		if r.repeatsLeft > 0 {
			kept = append(kept, r)
		}
	}
	g.pendingReleases = kept
}

// removeProgram removes a program, its waiting calls and its cache estimate. Calls in flight stay accounted for
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

// removeWorker removes a worker that left the group and has no calls in flight.
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

// handleLoadReported does not change any count: the count of calls in flight is exact, and the report is late.
func (g *group) handleLoadReported(LoadReported) {}

// handleCacheReported corrects the estimate for one worker and releases again what ended programs still hold.
func (g *group) handleCacheReported(m CacheReported) {
	w, ok := g.workersByName[m.Worker]
	if !ok {
		return
	}
	taken := g.Now - clock.Millis(m.AgeMS)
	seen := make(map[ids.Program]bool, len(m.Programs))
	for _, h := range m.Programs {
		seen[h.Program] = true
		if _, ok := g.endedPrograms[h.Program]; ok {
			g.endedPrograms[h.Program] = g.Now
			if h.Tokens > 0 {
				g.emit(ReleaseCache{Group: g.name, Worker: w.Name, Program: h.Program})
			}
			continue
		}
		p, ok := g.Programs[h.Program]
		if !ok {
			continue
		}
		g.addServedBy(p, w)
		e := p.CacheEntry(w)
		switch {
		case e == nil:
			if p.LastFinished < taken {
				framework.SetCachedTokens(p, w, h.Tokens, taken)
			}
		case e.LastUsedAt < taken && p.Running == 0:
			framework.CorrectCachedTokens(e, h.Tokens)
		}
	}
	framework.EachCacheEntry(w, func(e *framework.CacheEntry) {
		if !seen[e.Program.ID] && e.LastUsedAt < taken && !(e.Program.Running > 0 && e.Program.LastWorker == w) {
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
	if g.Now-g.lastRerank >= rerankPeriod {
		g.lastRerank = g.Now
		g.rerank()
		g.evictPausedResidents()
	}
	g.refuseOverdue()
	g.repeatReleases()
	if g.Now-g.lastSweep >= sweepPeriod {
		g.lastSweep = g.Now
		g.removeExpired()
		g.expireCalls()
	}
}

// evictPausedResidents takes the place in the cache from programs whose pause is expected to go on for long. Their
// prefix stays cached until the engine needs the memory.
func (g *group) evictPausedResidents() {
	pauser, ok := g.policy.(framework.ResidencyPolicy)
	if !ok {
		return
	}
	for _, w := range g.Workers {
		w.EachResident(func(p *framework.Program) {
			if p.Running == 0 && p.Waiting == 0 && !pauser.KeepResident(&g.Group, p, g.Now-p.LastFinished) {
				p.SetResidentWorker(nil, 0)
			}
		})
	}
}

// removeExpired forgets settled calls, refused calls and programs that are too old to matter.
func (g *group) removeExpired() {
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
