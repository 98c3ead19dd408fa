package main

import (
	"math"
	"os"
	"testing"
)

// TestFit guards against a slope or standard error that is wrong by a factor that depends on the number of points.
func TestFit(t *testing.T) {
	l := fitLine([]float64{1, 2, 3, 4}, []float64{3.1, 4.9, 7.1, 8.9})
	// Computed by hand: the slope is 9.8/5; residuals of +-0.04 and +-0.12 give a standard error of sqrt(0.032/2/5).
	if math.Abs(l.Slope-1.96) > 1e-9 || math.Abs(l.Intercept-1.1) > 1e-9 || math.Abs(l.SlopeError-math.Sqrt(0.0032)) > 1e-9 {
		t.Errorf("fit = %+v", l)
	}
}

// TestUsage guards against reading the wrong fields of /proc, which gives values of 0 or outside any plausible range.
func TestUsage(t *testing.T) {
	u, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if u.residentBytes < 1<<20 || u.residentBytes > 1<<33 || u.readBytes <= 0 || u.readCalls <= 0 || u.cpuSeconds < 0 || u.cpuSeconds > 600 {
		t.Errorf("usage = %+v", u)
	}
}

// TestTurn guards against calls that the model of the home never dispatches: nothing would be measured.
func TestTurn(t *testing.T) {
	h := newHome(2)
	h.runCall(h.programs[1], "key-1", 400)
	records := h.state.Export()
	last := records[len(records)-1]
	if last.Turn == nil || last.Program != h.programs[1] || len(last.Turn.Request)+len(last.Turn.Answer) != 400 {
		t.Errorf("last record = %+v", last)
	}
}
