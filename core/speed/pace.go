package speed

import (
	"math"
	"time"
)

const (
	// minPacedEvents is the smallest number of events whose pace says something of the server.
	minPacedEvents = 8
	// stepGrowth is by how much each further running request slows down the events of the others: a turn takes 210 ms at 2
	// requests, 316 ms at 12.
	stepGrowth = 0.05
	// paceGain is the weight of one stream in the correction: about the last ten count.
	paceGain = 0.1
	// baselineGain is the smallest weight of one stream in the baseline: about the last fifty of the service count.
	baselineGain = 0.02
	// correctionThreshold is the factor up to which the pace does not contradict the reports. Chance explains 1.2.
	correctionThreshold = 1.3
)

// Baseline is the usual pace of the streams of a service, as one host sees it. The zero value is that before the first one.
type Baseline struct {
	streams int
	// usual is the natural logarithm of the milliseconds between events at the usual work time.
	usual float64
}

// RecordPace adds a stream that has ended: the time in which events further events arrived after the first ones, while
// running requests were at the server. It corrects the server's reports if the pace contradicts them, compared with the
// other servers of the service.
func (e *Estimate) RecordPace(now time.Time, b *Baseline, events int, d time.Duration, running float64) {
	if e.reports == 0 || events < minPacedEvents || d <= 0 {
		return
	}
	usual, _ := e.at(now)
	milliseconds := float64(d) / float64(time.Millisecond) / float64(events)
	observed := math.Log(milliseconds/(1+stepGrowth*max(running-1, 0))) - usual
	if b.streams == 0 {
		b.usual = observed
	}
	b.streams++
	bound := math.Log(maxDeviation)
	difference := min(max(observed-b.usual, -bound), bound)
	b.usual += max(1/float64(b.streams), baselineGain) * difference
	correction := e.correctionAt(now)
	e.correction, e.correctedAt = correction+paceGain*(difference-correction), now
}

// correctionAt returns the logarithm of the correction, which is forgotten without streams like the usual work time.
func (e *Estimate) correctionAt(now time.Time) float64 {
	if e.correction == 0 {
		return 0
	}
	return e.correction * math.Exp2(-max(float64(now.Sub(e.correctedAt)), 0)/float64(usualHalfLife))
}

// appliedCorrection returns the part of the correction beyond correctionThreshold.
func (e *Estimate) appliedCorrection(now time.Time) float64 {
	correction, threshold := e.correctionAt(now), math.Log(correctionThreshold)
	return correction - min(max(correction, -threshold), threshold)
}
