package speed_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/speed"
)

// The model of engines with the figures of the deployment: 6 requests at once, a step of 2.3 ms and more with each running
// request, 85 prompt tokens read in a millisecond. On a busy machine, for 0.6 s at a time and 0.15 of the time, an engine
// takes 2.5 times as long.
const (
	simSlots       = 6
	simStepMS      = 2.3
	simStepMoreMS  = 0.15
	simPrefill     = 85.0
	simBusyFactor  = 2.5
	simBusyTimeMS  = 600.0
	simBusyShare   = 0.15
	simTurns       = 6
	simNewTokens   = 300 // of prompt, in each turn
	simGenerated   = 60
	simThinkTimeMS = 150.0
)

type simTurn struct {
	program *simProgram
	sentAt  float64
	prefill float64 // prompt tokens left to read
	tokens  int     // left to generate
}

type simProgram struct {
	turn, promptTokens int
	cachedAt           int // engine, -1 if there is none
	nextAt             float64
	waiting            bool
}

type simEngine struct {
	workTime   float64
	busyUntil  float64
	nextBusyAt float64
	stepEndsAt float64
	queue      []*simTurn
	running    []*simTurn
	estimate   speed.Estimate
}

func (e *simEngine) workTimeAt(now float64) float64 {
	if now < e.busyUntil {
		return e.workTime * simBusyFactor
	}
	return e.workTime
}

// simulate keeps programs in progress at engines of the given usual work times for a minute, and returns the durations
// of their turns in milliseconds, sorted, and the number of turns that each engine ran. With informed, placement knows
// what engines report with the responses. distort changes a report.
func simulate(workTimes []float64, busyShare float64, programs int, informed bool, distort func(engine, percent int) int) (durations []float64, turns []int) {
	random := rand.New(rand.NewPCG(1, 2))
	engines := make([]*simEngine, len(workTimes))
	for i, w := range workTimes {
		engines[i] = &simEngine{workTime: w, nextBusyAt: random.ExpFloat64() * simBusyTimeMS}
	}
	sessions := make([]*simProgram, programs)
	for i := range sessions {
		sessions[i] = &simProgram{cachedAt: -1, nextAt: random.Float64() * 500}
	}
	turns = make([]int, len(engines))
	policy := placement.DefaultPolicy()
	start := time.Unix(1000, 0)
	for now := 0.0; now < 60_000; now++ {
		at := start.Add(time.Duration(now * float64(time.Millisecond)))
		for i, e := range engines {
			if now >= e.nextBusyAt {
				if busyShare > 0 {
					e.busyUntil = now + simBusyTimeMS
				}
				e.nextBusyAt = now + simBusyTimeMS + random.ExpFloat64()*simBusyTimeMS*(1-simBusyShare)/simBusyShare
			}
			if now < e.stepEndsAt {
				continue
			}
			for _, t := range slices.Clone(e.running) {
				if t.prefill > 0 {
					continue
				}
				if t.tokens--; t.tokens <= 0 {
					e.running = slices.DeleteFunc(e.running, func(other *simTurn) bool { return other == t })
					durations = append(durations, now-t.sentAt)
					turns[i]++
					p := t.program
					p.cachedAt, p.waiting, p.nextAt = i, false, now+random.ExpFloat64()*simThinkTimeMS
					if p.turn++; p.turn == simTurns {
						*p = simProgram{cachedAt: -1, nextAt: p.nextAt}
					}
				}
			}
			for len(e.running) < simSlots && len(e.queue) > 0 {
				e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
				percent := int(100 * e.workTimeAt(now))
				if distort != nil {
					percent = distort(i, percent)
				}
				e.estimate.Record(at, percent)
			}
			if len(e.running) == 0 {
				continue
			}
			step := simStepMS + simStepMoreMS*float64(len(e.running))
			for _, t := range e.running {
				if t.prefill > 0 {
					chunk := min(t.prefill, 256)
					t.prefill -= chunk
					step += chunk / simPrefill
					break
				}
			}
			e.stepEndsAt = now + step*e.workTimeAt(now)
		}
		for _, p := range sessions {
			if p.waiting || now < p.nextAt {
				continue
			}
			p.promptTokens += simNewTokens
			cached := p.promptTokens - simNewTokens
			candidates := make([]placement.Candidate, len(engines))
			offset := random.IntN(len(engines))
			for j := range candidates {
				i := (j + offset) % len(engines)
				e := engines[i]
				candidates[j] = placement.Candidate{
					Server: placement.Server{ID: string(rune('0' + i)), Slots: simSlots}, Load: float64(len(e.running) + len(e.queue)),
				}
				if p.cachedAt == i {
					candidates[j].CachedTokens = cached
				}
				if informed {
					candidates[j].WorkTime = e.estimate.WorkTime(at)
				}
			}
			i := (policy.Choose(placement.Request{PromptTokens: p.promptTokens}, candidates) + offset) % len(engines)
			t := &simTurn{program: p, sentAt: now, prefill: float64(p.promptTokens), tokens: simGenerated}
			if p.cachedAt == i {
				t.prefill = simNewTokens
			}
			p.waiting = true
			engines[i].queue = append(engines[i].queue, t)
		}
	}
	slices.Sort(durations)
	return durations, turns
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func percentile(sorted []float64, p float64) float64 { return sorted[int(p*float64(len(sorted)-1))] }
