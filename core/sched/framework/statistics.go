package framework

import (
	"math/bits"

	"github.com/hyssopreel/hyssopreel/common/clock"
)

// minSampleWeight is the weight of a new sample in a running mean once enough samples exist: about the last 64
// samples count.
const minSampleWeight = 1.0 / 64

// RunningMean is a running mean that follows slow changes.
type RunningMean struct {
	Count int
	Value float64
}

// Add takes in a sample.
func (m *RunningMean) Add(x float64) {
	m.Count++
	weight := 1 / float64(m.Count)
	if weight < minSampleWeight {
		weight = minSampleWeight
	}
	m.Value += weight * (x - m.Value)
}

// ValueOr returns the mean, or def before the first sample.
func (m *RunningMean) ValueOr(def float64) float64 {
	if m.Count == 0 {
		return def
	}
	return m.Value
}

// AgentStats is what was learned of the programs of one agent.
type AgentStats struct {
	Name string
	// PromptGrowthTokens is the uncached growth of the prompt from one turn to the next, in tokens; First is the length of
	// the first prompt; Generated is the length of an answer.
	PromptGrowthTokens, FirstPromptTokens, GeneratedTokens RunningMean
	// ServiceMS is the time from grant to finish.
	ServiceMS RunningMean
	TurnStats TurnStats
}

// growthPerTurn is what a turn adds to the history of a program, in tokens.
func (a *AgentStats) growthPerTurn() float64 {
	return a.PromptGrowthTokens.ValueOr(0) + a.GeneratedTokens.ValueOr(0)
}

// ToolStats is what was learned of the pauses for one tool.
type ToolStats struct {
	Name string
	// counts and sums are over the pauses whose length in milliseconds has the same power of two.
	counts, sums [pauseBucketCount]float64
}

// pauseBucketCount covers pauses of up to 2^31 ms, 24 days.
const pauseBucketCount = 32

func pauseBucketIndex(ms float64) int { return min(pauseBucketCount-1, bits.Len64(uint64(max(0, ms)))) }

// AddPause takes in the length of a pause.
func (t *ToolStats) AddPause(ms float64) {
	b := pauseBucketIndex(ms)
	t.counts[b]++
	t.sums[b] += ms
}

// ExpectedResidualMS returns how much longer a pause is expected to last that has lasted for the given time, in
// milliseconds. A pause longer than every one seen is expected to last as long again.
func (t *ToolStats) ExpectedResidualMS(elapsed float64) float64 {
	var count, sum float64
	for b := pauseBucketIndex(elapsed) + 1; b < pauseBucketCount; b++ {
		count += t.counts[b]
		sum += t.sums[b]
	}
	if count == 0 {
		return elapsed
	}
	return max(0, sum/count-elapsed)
}

// maxTurns is the default bound on the turns of one program; later turns count as this one.
const maxTurns = 280

// The prior of the chance that a program ends after a turn: as if priorPrograms programs of priorTurns turns
// on average had been seen. It decides alone until programs of the agent end.
const (
	priorPrograms = 4.0
	priorTurns    = 8.0
)

// indexMaxAge is how long a computed index is used while programs end, in milliseconds.
const indexMaxAge clock.Millis = 1000

// TurnStats is what was learned of the number of turns of an agent's programs. It counts how many programs
// finished their n-th turn and how many of them ended there, so that programs that are still open count
// for the turns that they have survived. Counting ended programs only would take every agent for a short one at
// the start of an event.
type TurnStats struct {
	reached, ended                  [maxTurns + 1]float64
	changed                         bool
	computedAt                      clock.Millis
	gittinsIndex, expectedTurnsLeft []float64
}

// RecordReached notes that a program finished its n-th turn.
func (t *TurnStats) RecordReached(n int) { t.reached[clampTurn(n)]++; t.changed = true }

// RecordEnded notes that a program ended after its n-th turn.
func (t *TurnStats) RecordEnded(n int) { t.ended[clampTurn(n)]++; t.changed = true }

func clampTurn(n int) int { return max(0, min(n, maxTurns)) }

// Hazard is the chance that a program that has finished n-1 turns ends with its n-th.
func (t *TurnStats) Hazard(n int) float64 {
	n = clampTurn(n)
	return (t.ended[n] + priorPrograms/priorTurns) / (t.reached[n] + priorPrograms)
}

// GittinsIndex returns the Gittins index of a program after n turns as a cost in turns: the least ratio, over all
// numbers of further turns, of the expected turns spent to the chance that the program ends within them.
// It is low for a program that is likely to end soon.
func (t *TurnStats) GittinsIndex(n int, now clock.Millis) float64 {
	t.refresh(now)
	return t.gittinsIndex[clampTurn(n)]
}

// ExpectedTurnsLeft returns the expected number of turns that follow the n-th.
func (t *TurnStats) ExpectedTurnsLeft(n int, now clock.Millis) float64 {
	t.refresh(now)
	return t.expectedTurnsLeft[clampTurn(n)]
}

func (t *TurnStats) refresh(now clock.Millis) {
	if t.gittinsIndex == nil || t.changed && now-t.computedAt >= indexMaxAge {
		t.compute()
		t.changed, t.computedAt = false, now
	}
}

func (t *TurnStats) compute() {
	if t.gittinsIndex == nil {
		t.gittinsIndex, t.expectedTurnsLeft = make([]float64, maxTurns+1), make([]float64, maxTurns+1)
	}
	// A program that finished its n-th turn ended there with chance Hazard(n); what follows counts for the others.
	for n := maxTurns - 1; n >= 0; n-- {
		t.expectedTurnsLeft[n] = 1 + (1-min(1, t.Hazard(n+1)))*t.expectedTurnsLeft[n+1]
	}
	for n := range t.gittinsIndex {
		survive, spent, best := 1.0, 0.0, -1.0
		for m := n + 1; m <= maxTurns; m++ {
			spent += survive
			survive *= 1 - min(1, t.Hazard(m))
			if ratio := spent / (1 - survive); best < 0 || ratio < best {
				best = ratio
			}
			if survive < 0.01 {
				break
			}
		}
		if best < 0 {
			best = 1
		}
		t.gittinsIndex[n] = best
	}
}
