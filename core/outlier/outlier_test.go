package outlier_test

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/outlier"
)

var testStart = time.Unix(1000, 0)

// Guards against sending every request to a server that accepts connections and resets them, since it fails faster
// than any other server responds.
func TestServerThatResetsEverythingIsLeftOut(t *testing.T) {
	var r outlier.State
	now, sent, seconds := testStart, 0, 5
	for ; now.Before(testStart.Add(time.Duration(seconds) * time.Second)); now = now.Add(2 * time.Millisecond) {
		if !r.Ejected(now) {
			sent++
			r.RecordSelection(now)
			r.RecordResponseFailure(now)
		}
	}
	// Two before the first ejection, and one probe after each.
	if limit := 2 + seconds; sent > limit {
		t.Fatalf("%d requests were sent to the server in %d s, want at most %d", sent, seconds, limit)
	}
}

// Guards against ejecting a server for single failures, such as a connection that was reset while it was idle.
func TestOneBreakIsNoEvidence(t *testing.T) {
	var r outlier.State
	for i := range 100 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		if r.RecordResponseFailure(now); r.Ejected(now) || r.RecentlyEjected() {
			t.Fatalf("ejected after failure %d although a success followed each failure", i)
		}
		r.RecordSuccess(now)
	}
}

// Guards against more than one probe at a time, and against a server that stays ejected after a success.
func TestServerReturnsOnEvidence(t *testing.T) {
	var r outlier.State
	if !r.RecordConnectFailure(testStart) || !r.Ejected(testStart) {
		t.Fatal("not ejected after a connect failure")
	}
	if r.RecordConnectFailure(testStart.Add(time.Millisecond)) {
		t.Fatal("ejection reported again for a server that is ejected already")
	}
	end := testStart.Add(outlier.BaseEjectionTime)
	if r.Ejected(end) || !r.RecentlyEjected() {
		t.Fatalf("at the end of the ejection time: ejected %v, recently ejected %v", r.Ejected(end), r.RecentlyEjected())
	}
	r.RecordSelection(end)
	if !r.Ejected(end.Add(time.Millisecond)) {
		t.Fatal("a second request may be sent while the probe has no response")
	}
	if r.Ejected(end.Add(time.Second)) {
		t.Fatal("still ejected one second after a probe without a response")
	}
	r.RecordSuccess(end)
	if r.RecentlyEjected() || r.Ejected(end.Add(time.Millisecond)) {
		t.Fatal("ejected after a success")
	}
}

// Guards against missing a server that fails part of its requests: it rarely fails often enough in a row to be
// ejected, so that its failure rate has to show it.
func TestRateOfAServerThatFailsInPart(t *testing.T) {
	var failing, healthy outlier.State
	now := testStart
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		if i%5 < 2 {
			failing.RecordResponseFailure(now)
		} else {
			failing.RecordSuccess(now)
		}
		healthy.RecordSuccess(now)
	}
	if r := failing.FailureRate(now); r < 0.15 {
		t.Errorf("rate %.2f after two failures in five", r)
	}
	if r := healthy.FailureRate(now); r != 0 {
		t.Errorf("rate %.2f of a healthy server", r)
	}
	if r := failing.FailureRate(now.Add(10 * time.Second)); r > 0.05 {
		t.Errorf("rate %.2f ten seconds later", r)
	}
}
