package evidence_test

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/evidence"
)

var start = time.Unix(1000, 0)

// An outage of servers that accept connections and reset them: they answer faster than any other.
func TestServerThatResetsEverythingIsLeftOut(t *testing.T) {
	var r evidence.Record
	now, sent, seconds := start, 0, 5
	for ; now.Before(start.Add(time.Duration(seconds) * time.Second)); now = now.Add(2 * time.Millisecond) {
		if !r.Out(now) {
			sent++
			r.Chosen(now)
			r.Broke(now)
		}
	}
	// Two before it is left out, and one at each return.
	if most := 2 + seconds; sent > most {
		t.Fatalf("%d requests went to the server in %d s, want at most %d", sent, seconds, most)
	}
}

func TestOneBreakIsNoEvidence(t *testing.T) {
	var r evidence.Record
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if r.Broke(now); r.Out(now) || r.Doubtful() {
			t.Fatalf("left out after break %d although each was followed by an answer", i)
		}
		r.Succeeded(now)
	}
}

func TestServerReturnsOnEvidence(t *testing.T) {
	var r evidence.Record
	if !r.Failed(start) || !r.Out(start) {
		t.Fatal("a server without connections is used")
	}
	if r.Failed(start.Add(time.Millisecond)) {
		t.Fatal("a failure of a server that is out already is reported again")
	}
	back := start.Add(evidence.OutFor)
	if r.Out(back) || !r.Doubtful() {
		t.Fatalf("at its return: out %v, doubtful %v", r.Out(back), r.Doubtful())
	}
	r.Chosen(back)
	if !r.Out(back.Add(time.Millisecond)) {
		t.Fatal("a second request goes to the server before the first one is answered")
	}
	if r.Out(back.Add(time.Second)) {
		t.Fatal("a request that is not answered keeps the server out")
	}
	r.Succeeded(back)
	if r.Doubtful() || r.Out(back.Add(time.Millisecond)) {
		t.Fatal("left out after an answer")
	}
}

// Servers that fail part of their requests: the streak never gets long, the rate tells.
func TestRateOfAServerThatFailsInPart(t *testing.T) {
	var grey, sound evidence.Record
	now := start
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		if i%5 < 2 {
			grey.Broke(now)
		} else {
			grey.Succeeded(now)
		}
		sound.Succeeded(now)
	}
	if r := grey.Rate(now); r < 0.15 {
		t.Errorf("rate %.2f after two failures in five", r)
	}
	if r := sound.Rate(now); r != 0 {
		t.Errorf("rate %.2f of a sound server", r)
	}
	if r := grey.Rate(now.Add(10 * time.Second)); r > 0.05 {
		t.Errorf("rate %.2f ten seconds later", r)
	}
}
