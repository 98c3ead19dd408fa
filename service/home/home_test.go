package home

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/hoststate"
	"github.com/hyssopreel/hyssopreel/service/membership"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// singleHostView is a host without peers.
type singleHostView struct{}

func (singleHostView) Self() membership.Member {
	return membership.Member{Name: "a-1", Journal: "a-1.1"}
}
func (singleHostView) Members() []membership.Member { return nil }
func (singleHostView) Epoch() uint64                { return 1 }
func (singleHostView) HomeOf(ids.Journal) (membership.Member, bool) {
	return membership.Member{}, false
}
func (singleHostView) RendezvousOrder(string) []membership.Member { return nil }
func (singleHostView) LeaseValid() bool                           { return true }

// Guards against a request that waits forever because the runtime ended before the request's event was published or
// while the event was still queued.
func TestRequestsAreAnsweredWhenTheRuntimeHasEnded(t *testing.T) {
	for name, late := range map[string]bool{"submitted before the end": false, "submitted after the end": true} {
		t.Run(name, func(t *testing.T) {
			rt := runtime.New(clock.System(), hoststate.NewState(), nil)
			node := wire.NewNode(wire.Options{ProcessName: "a-1"})
			defer func() { _ = node.Close() }()
			h := New(Options{View: singleHostView{}, Node: node, Runtime: rt, Store: nil, BatchInterval: time.Hour})
			if err := h.Start("a-1.1"); err != nil {
				t.Fatal(err)
			}
			ended, end := context.WithCancel(context.Background())
			end()
			// The runtime reduces no events, because its context has ended.
			if err := rt.Run(ended); err != nil {
				t.Fatal(err)
			}
			var w *Waiter
			if late {
				h.Run(ended)
				w = h.Call(context.Background(), "p", api.Call{Key: "m1"})
			} else {
				w = h.Call(context.Background(), "p", api.Call{Key: "m1"})
				h.Run(ended)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, reply, err := w.Next(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if got := reply.Error; got == nil || got.Code != fault.CodeMoved || got.Outcome != fault.OutcomeUnknown {
				t.Fatalf("the request failed with %v, want code moved and outcome unknown", got)
			}
		})
	}
}

// Guards against a second report that the incarnation is fenced: it would cut short the wait for active requests.
func TestDeposedIsReportedOnce(t *testing.T) {
	rt := runtime.New(clock.System(), hoststate.NewState(), nil)
	node := wire.NewNode(wire.Options{ProcessName: "a-1"})
	defer func() { _ = node.Close() }()
	var reports []string
	h := New(Options{View: singleHostView{}, Node: node, Runtime: rt, OnFenced: func(reason string) { reports = append(reports, reason) }})
	h.Fenced("the journal is sealed")
	h.Fenced("the lease was taken over")
	if len(reports) != 1 || reports[0] != "the journal is sealed" {
		t.Fatalf("reports %q", reports)
	}
}
