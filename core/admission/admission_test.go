package admission_test

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/admission"
)

// The burst at the start of an event: callers come at several times the rate that the engines serve.
func TestBurst(t *testing.T) {
	for name, c := range map[string]struct {
		load    float64
		draw    float64
		refused bool
	}{
		"quiet day":                           {load: 130, draw: 0, refused: false},
		"engines full, nobody waits":          {load: 264, draw: 0, refused: false},
		"queue of half a batch, most draws":   {load: 396, draw: 0.5, refused: false},
		"queue of half a batch, some draws":   {load: 396, draw: 0.2, refused: true},
		"queue of a batch and more, any draw": {load: 600, draw: 0.999, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, refused := admission.ShouldShed(admission.ServiceLoad{Requests: c.load, Slots: 264, TurnTime: 250 * time.Millisecond}, c.draw)
			if refused != c.refused {
				t.Errorf("refused %v", refused)
			}
		})
	}
}

// Callers that are refused in a jam must not return before it has shrunk, nor after they have stopped waiting.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	turn := func(load float64, turn time.Duration) time.Duration {
		d, refused := admission.ShouldShed(admission.ServiceLoad{Requests: load, Slots: 100, TurnTime: turn}, 0)
		if !refused {
			t.Fatalf("load %.0f is not refused", load)
		}
		return d
	}
	short, long := turn(140, 500*time.Millisecond), turn(300, 500*time.Millisecond)
	if short >= long {
		t.Errorf("%v after a short queue, %v after a long one", short, long)
	}
	if d := turn(131, time.Millisecond); d < 100*time.Millisecond {
		t.Errorf("%v is sooner than a turn ends", d)
	}
	if d := turn(900, 10*time.Second); d > time.Second {
		t.Errorf("%v is longer than callers wait", d)
	}
}

func TestUnknownEnginesRefuseNobody(t *testing.T) {
	if _, refused := admission.ShouldShed(admission.ServiceLoad{Requests: 5}, 0); refused {
		t.Error("refused without engines")
	}
}
