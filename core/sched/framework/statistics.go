package framework

import (
	"math/bits"

	"github.com/hyssopreel/hyssopreel/common/clock"
)

// minSampleWeight is the least weight of a new sample in a running mean, so that the mean follows about the last 64
// samples.
const minSampleWeight = 1.0 / 64

// RunningMean is the plain mean of the first 64 samples and an exponentially weighted moving average from then on.
type RunningMean struct {
	Count int
	Value float64
}

// Add adds a sample.
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

// AgentStats holds the statistics of one agent's programs.
type AgentStats struct {
	Name string
	// PromptGrowthTokens is the uncached growth of the prompt over the history of the turn before, FirstPromptTokens
	// the length of the first prompt, and GeneratedTokens the length of an answer, all in tokens.
	PromptGrowthTokens, FirstPromptTokens, GeneratedTokens RunningMean
	// ServiceMS is the time from the grant to the end of a call.
	ServiceMS RunningMean
	TurnStats TurnStats
}

// growthPerTurn returns the mean growth of a program's history per turn, in tokens.
func (a *AgentStats) growthPerTurn() float64 {
	return a.PromptGrowthTokens.ValueOr(0) + a.GeneratedTokens.ValueOr(0)
}

// ToolStats is a histogram of the lengths of the pauses for one tool.
type ToolStats struct {
	Name string
	// Bucket b has the number and the sum of the pauses from 2^(b-1) to less than 2^b ms; bucket 0 those below 1 ms.
	counts, sums [pauseBucketCount]float64
}

// pauseBucketCount covers pauses of up to 2^31 ms (24 days); the last bucket has all longer ones too.
const pauseBucketCount = 32

func pauseBucketIndex(ms float64) int { return min(pauseBucketCount-1, bits.Len64(uint64(max(0, ms)))) }

// AddPause adds a pause of ms milliseconds.
func (t *ToolStats) AddPause(ms float64) {
	b := pauseBucketIndex(ms)
	t.counts[b]++
	t.sums[b] += ms
}

// ExpectedResidualMS returns the expected residual time, in milliseconds, of a pause that has lasted for elapsed
// milliseconds, from the recorded pauses in higher buckets. Without any, the pause is expected to last as long
// again.
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

// maxTurns is the default limit on the turns of one program; later turns count as this one.
const maxTurns = 280

// The prior of the hazard is that of priorPrograms observed programs of priorTurns turns on average. Until
// programs of the agent have run, the estimate is the prior alone.
const (
	priorPrograms = 4.0
	priorTurns    = 8.0
)

// indexMaxAge is the age, in milliseconds, from which an index is computed again after the counts have changed.
const indexMaxAge clock.Millis = 1000

// TurnStats estimates the distribution of the number of turns of an agent's programs by its hazard rate: it counts
// the programs that finished their n-th turn and those that ended there, so that open programs count as censored
// samples for the turns that they have finished. With ended programs alone, the estimate would be biased towards
// short programs at the start of an event.
type TurnStats struct {
	reached, ended                  [maxTurns + 1]float64
	changed                         bool
	computedAt                      clock.Millis
	gittinsIndex, expectedTurnsLeft []float64
}

// RecordReached records that a program finished its n-th turn.
func (t *TurnStats) RecordReached(n int) { t.reached[clampTurn(n)]++; t.changed = true }

// RecordEnded records that a program ended after its n-th turn.
func (t *TurnStats) RecordEnded(n int) { t.ended[clampTurn(n)]++; t.changed = true }

func clampTurn(n int) int { return max(0, min(n, maxTurns)) }

// Hazard returns the estimated hazard rate: the probability that a program that finishes its n-th turn ends there.
func (t *TurnStats) Hazard(n int) float64 {
	n = clampTurn(n)
	return (t.ended[n] + priorPrograms/priorTurns) / (t.reached[n] + priorPrograms)
}

// GittinsIndex returns the Gittins index of a program after n turns as a cost in turns: the least ratio, over all
// numbers of further turns, of the expected turns spent to the probability that the program ends within them. It
// is low for a program that is likely to end soon.
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
	// A program ends with turn n+1 with probability Hazard(n+1); the turns after it count for the others.
	for n := maxTurns - 1; n >= 0; n-- {
		t.expectedTurnsLeft[n] = 1 + (1-min(1, t.Hazard(n+1)))*t.expectedTurnsLeft[n+1]
	}
	for n := range t.gittinsIndex {
		survival, expectedTurns, minRatio := 1.0, 0.0, -1.0
		for m := n + 1; m <= maxTurns; m++ {
			expectedTurns += survival
			survival *= 1 - min(1, t.Hazard(m))
			if ratio := expectedTurns / (1 - survival); minRatio < 0 || ratio < minRatio {
				minRatio = ratio
			}
			if survival < 0.01 {
				break
			}
		}
		if minRatio < 0 {
			minRatio = 1
		}
		t.gittinsIndex[n] = minRatio
	}
}
