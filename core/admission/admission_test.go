package admission_test

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/admission"
)

// Guards against queues that grow without bound in the burst at the start of an event, when requests arrive at
// several times the rate of the engines.
func TestBurst(t *testing.T) {
	for name, c := range map[string]struct {
		load    float64
		draw    float64
		refused bool
	}{
		"low load":                              {load: 130, draw: 0, refused: false},
		"engines full, queues empty":            {load: 264, draw: 0, refused: false},
		"queue of half the slots, high draw":    {load: 396, draw: 0.5, refused: false},
		"queue of half the slots, low draw":     {load: 396, draw: 0.2, refused: true},
		"queue longer than the slots, any draw": {load: 600, draw: 0.999, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, refused := admission.ShouldShed(admission.ServiceLoad{Requests: c.load, Slots: 264, TurnTime: 250 * time.Millisecond}, c.draw)
			if refused != c.refused {
				t.Errorf("refused = %v, want %v", refused, c.refused)
			}
		})
	}
}

// Guards against refused callers that retry before the overload has shrunk, or only after they have given up.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	retryAfter := func(load float64, turnTime time.Duration) time.Duration {
		d, refused := admission.ShouldShed(admission.ServiceLoad{Requests: load, Slots: 100, TurnTime: turnTime}, 0)
		if !refused {
			t.Fatalf("load %.0f is not refused", load)
		}
		return d
	}
	short, long := retryAfter(140, 500*time.Millisecond), retryAfter(300, 500*time.Millisecond)
	if short >= long {
		t.Errorf("retry after %v for a short queue, %v for a long one", short, long)
	}
	if d := retryAfter(131, time.Millisecond); d < 100*time.Millisecond {
		t.Errorf("retry after %v, which is shorter than a few turns", d)
	}
	if d := retryAfter(900, 10*time.Second); d > time.Second {
		t.Errorf("retry after %v, which is longer than callers wait", d)
	}
}

func TestUnknownEnginesRefuseNobody(t *testing.T) {
	if _, refused := admission.ShouldShed(admission.ServiceLoad{Requests: 5}, 0); refused {
		t.Error("refused although the service has no engines")
	}
}
