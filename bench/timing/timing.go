// Package timing measures the wall-clock time and the allocations of scheduling decisions. Its figures differ between
// runs.
package timing

import (
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// The group size to which the target for the time of a decision applies.
const (
	programCount        = 3000
	workerCount         = 20
	maxRunning          = 24
	finishedCalls       = 40_000
	cacheCapacityTokens = 300_000
	// callEndIntervalMS is the mean time between two ends of calls: 480 slots and calls of 7 s.
	callEndIntervalMS = 15
	// finalTurn is the last turn of a program. Programs end, so that new ones are admitted during the whole measurement.
	finalTurn = 8
)

// Report holds the figures of one policy. Times are wall-clock times.
type Report struct {
	Policy                            string
	Grants                            int
	GrantsPerSecond, MicrosPerGrant   float64
	AllocsPerGrant, BytesPerGrant     float64
	Events                            int
	MicrosPerEvent, MaxMicrosPerEvent float64
}

func (r Report) String() string {
	return fmt.Sprintf("decisions of %-9s %d programs, %d workers: %.0f/s, %.1f us, %.1f allocations and %.0f bytes per grant; %.1f us per event, slowest %.0f us",
		r.Policy, programCount, workerCount, r.GrantsPerSecond, r.MicrosPerGrant, r.AllocsPerGrant, r.BytesPerGrant, r.MicrosPerEvent, r.MaxMicrosPerEvent)
}

type benchmark struct {
	state       *sched.State
	now         clock.Millis
	lastProgram int
	turns       map[ids.Program]int
	running     []sched.Grant
	report      Report
}

// Measure keeps a group of 3,000 programs and 20 workers busy under a policy: calls end, their programs enqueue the
// next turn or end, and new programs replace those that end.
func Measure(policy string) Report {
	l := &benchmark{state: sched.NewState(), turns: map[ids.Program]int{}}
	m := sched.GroupChanged{Group: "g/0", Policy: policy}
	for i := range workerCount {
		m.Workers = append(m.Workers, sched.Worker{Name: "w" + strconv.Itoa(i), Usable: true, MaxRunning: maxRunning, CacheCapacityTokens: cacheCapacityTokens})
	}
	l.reduce(m)
	for range programCount {
		l.openProgram()
	}
	l.report = Report{Policy: policy}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range finishedCalls {
		l.finishCall(i)
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	r := l.report
	grants := float64(r.Grants)
	r.GrantsPerSecond, r.MicrosPerGrant = grants/elapsed.Seconds(), float64(elapsed.Microseconds())/grants
	r.AllocsPerGrant, r.BytesPerGrant = float64(after.Mallocs-before.Mallocs)/grants, float64(after.TotalAlloc-before.TotalAlloc)/grants
	r.MicrosPerEvent = float64(elapsed.Microseconds()) / float64(r.Events)
	return r
}

func (l *benchmark) openProgram() {
	l.lastProgram++
	l.enqueueCall(ids.NewProgram("h.1", uint64(l.lastProgram)), 0)
}

func (l *benchmark) enqueueCall(p ids.Program, turn int) {
	l.turns[p] = turn
	l.reduce(sched.Enqueued{
		Call: sched.CallID{Program: p, Key: strconv.Itoa(turn), Attempt: 1}, Group: "g/0", Home: "h.1", Agent: "agent",
		Class: sched.ClassInteractive, Turns: turn, PromptTokens: 3000 + 700*int64(turn), MaxTokens: 500,
	})
}

// finishCall ends a running call, then enqueues the next turn of its program or replaces the program by a new one.
func (l *benchmark) finishCall(i int) {
	l.now += callEndIntervalMS
	if i%7 == 0 {
		l.reduce(sched.Ticked{Group: "g/0"})
	}
	pick := (i * 7919) % len(l.running)
	g := l.running[pick]
	l.running[pick] = l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
	p := g.Call.Program
	turn := l.turns[p] + 1
	l.reduce(sched.Finished{Call: g.Call, Group: "g/0", Worker: g.Worker, PromptTokens: 2300 + 700*int64(turn), GeneratedTokens: 200})
	if turn == finalTurn-int(i%5) || turn > finalTurn {
		delete(l.turns, p)
		l.reduce(sched.ProgramEnded{Program: p, Group: "g/0", Agent: "agent", Turns: turn})
		l.openProgram()
		return
	}
	l.enqueueCall(p, turn)
}

func (l *benchmark) reduce(e event.Event) {
	start := time.Now()
	effects := l.state.Reduce(l.now, e)
	l.report.MaxMicrosPerEvent = max(l.report.MaxMicrosPerEvent, float64(time.Since(start).Microseconds()))
	l.report.Events++
	for _, eff := range effects {
		if g, ok := eff.(sched.Grant); ok {
			l.report.Grants++
			l.running = append(l.running, g)
		}
	}
}
