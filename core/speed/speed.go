// Package speed estimates how long work takes at a backend server, relative to the usual, from what the server reports and
// from the pace of its streams. It is pure: times are arguments.
//
// A report holds for the moment. The estimate is the server's usual work time, an average over many reports, and the
// present deviation from it, which counts the less the older it is. So a server that is always slow gets fewer requests, one
// that is slow now gets fewer for as long as that is likely to last, and one wrong report has little effect.
package speed

import (
	"math"
	"time"
)

const (
	// priorReports is the number of reports of the usual work time that are assumed before the first one.
	priorReports = 2
	// minGain is the smallest weight of a report in the usual work time: about the last seventy count. With twenty, the
	// time on a busy machine made equal servers look unequal.
	minGain = 0.015
	// deviationGain is the weight of a report in the present deviation: two in a row make up most of it.
	deviationGain = 0.6
	// deviationHalfLife is the half-life of the deviation after the last report. Machines that are shared slow a server
	// down for 0.6 s in the deployments; of that, 0.3 s are left on average when a report shows it.
	deviationHalfLife = 150 * time.Millisecond
	// usualHalfLife is the half-life of the usual work time without reports. A server that gets no requests because it
	// was slow is tried again.
	usualHalfLife = 20 * time.Second
	// maxDeviation bounds the deviation of one report, as a factor. A server on a busy machine takes 2.5 times as long.
	maxDeviation = 3.0
	// minPercent and maxPercent bound a report; what is outside is taken for the bound.
	minPercent, maxPercent = 20, 1000
)

// Estimate is the estimate for one server. The zero value is that of a server without reports.
type Estimate struct {
	reports    int
	reportedAt time.Time
	// usual and deviation are natural logarithms of factors, at reportedAt.
	usual, deviation float64
	// correction is the logarithm of the factor by which the pace of events differs from the reports, at correctedAt.
	correction  float64
	correctedAt time.Time
}

// Record adds a report: percent is how long work takes at the server now, 100 is usual. Reports of 0 or less are ignored.
func (e *Estimate) Record(now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	usual, deviation := e.at(now)
	reported := math.Log(float64(min(max(percent, minPercent), maxPercent)) / 100)
	bound := math.Log(maxDeviation)
	difference := min(max(reported-usual, -bound), bound)
	e.reports++
	e.usual = usual + max(1/float64(e.reports+priorReports), minGain)*difference
	e.deviation = deviation + deviationGain*(difference-deviation)
	e.reportedAt = now
}

// at returns the logarithms of the usual work time and of the deviation at a time.
func (e *Estimate) at(now time.Time) (usual, deviation float64) {
	if e.reports == 0 {
		return 0, 0
	}
	age := max(float64(now.Sub(e.reportedAt)), 0)
	return e.usual * math.Exp2(-age/float64(usualHalfLife)), e.deviation * math.Exp2(-age/float64(deviationHalfLife))
}

// WorkTime returns how long work takes at the server now; 1 is usual, 0 is not known.
func (e *Estimate) WorkTime(now time.Time) float64 {
	if e.reports == 0 {
		return 0
	}
	usual, deviation := e.at(now)
	return math.Exp(usual + deviation + e.appliedCorrection(now))
}

// UsualWorkTime returns how long work usually takes at the server; 0 is not known.
func (e *Estimate) UsualWorkTime(now time.Time) float64 {
	if e.reports == 0 {
		return 0
	}
	usual, _ := e.at(now)
	return math.Exp(usual)
}
