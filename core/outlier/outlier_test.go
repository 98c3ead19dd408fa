package outlier_test

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/outlier"
)

var testStart = time.Unix(1000, 0)

// An outage of servers that accept connections and reset them: they answer faster than any other.
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
	// Two before it is left out, and one at each return.
	if most := 2 + seconds; sent > most {
		t.Fatalf("%d requests went to the server in %d s, want at most %d", sent, seconds, most)
	}
}

func TestOneBreakIsNoEvidence(t *testing.T) {
	var r outlier.State
	for i := range 100 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		if r.RecordResponseFailure(now); r.Ejected(now) || r.RecentlyEjected() {
			t.Fatalf("left out after break %d although each was followed by an answer", i)
		}
		r.RecordSuccess(now)
	}
}

func TestServerReturnsOnEvidence(t *testing.T) {
	var r outlier.State
	if !r.RecordConnectFailure(testStart) || !r.Ejected(testStart) {
		t.Fatal("a server without connections is used")
	}
	if r.RecordConnectFailure(testStart.Add(time.Millisecond)) {
		t.Fatal("a failure of a server that is out already is reported again")
	}
	back := testStart.Add(outlier.BaseEjectionTime)
	if r.Ejected(back) || !r.RecentlyEjected() {
		t.Fatalf("at its return: out %v, doubtful %v", r.Ejected(back), r.RecentlyEjected())
	}
	r.RecordSelection(back)
	if !r.Ejected(back.Add(time.Millisecond)) {
		t.Fatal("a second request goes to the server before the first one is answered")
	}
	if r.Ejected(back.Add(time.Second)) {
		t.Fatal("a request that is not answered keeps the server out")
	}
	r.RecordSuccess(back)
	if r.RecentlyEjected() || r.Ejected(back.Add(time.Millisecond)) {
		t.Fatal("left out after an answer")
	}
}

// Servers that fail part of their requests: the streak never gets long, the rate tells.
func TestRateOfAServerThatFailsInPart(t *testing.T) {
	var grey, sound outlier.State
	now := testStart
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		if i%5 < 2 {
			grey.RecordResponseFailure(now)
		} else {
			grey.RecordSuccess(now)
		}
		sound.RecordSuccess(now)
	}
	if r := grey.FailureRate(now); r < 0.15 {
		t.Errorf("rate %.2f after two failures in five", r)
	}
	if r := sound.FailureRate(now); r != 0 {
		t.Errorf("rate %.2f of a sound server", r)
	}
	if r := grey.FailureRate(now.Add(10 * time.Second)); r > 0.05 {
		t.Errorf("rate %.2f ten seconds later", r)
	}
}
