package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// TestReportedSpeedDecides guards against reports of speed that do not reach the choice of a server.
func TestReportedSpeedDecides(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers := NewServers(func() time.Time { return now }, nil)
	for _, id := range []string{"fast", "slow"} {
		servers.Put(placement.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 6})
	}
	query := PlacementQuery{Service: "s"}
	acquire := func() *AcquiredServer { return servers.Acquire(query, placement.DefaultPolicy()) }
	chosen := func(n int) map[string]int {
		out := map[string]int{}
		for range n {
			acquired := acquire()
			out[acquired.ID()]++
			acquired.Release()
		}
		return out
	}
	g.Expect(chosen(60)).To(HaveLen(2), "without reports, each of two idle servers is chosen at times")
	for range 10 {
		for id, percent := range map[string]int{"fast": 70, "slow": 170} {
			acquired, _ := servers.AcquireServer(id)
			acquired.RecordLoad(LoadReport{Running: 1, WorkTimePercent: percent})
			acquired.Release()
		}
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(chosen(60)).To(Equal(map[string]int{"fast": 60}))
}

// TestPaceCorrectsReports guards against a server that attracts requests by reports that the pace of its streams
// contradicts.
func TestPaceCorrectsReports(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers := NewServers(func() time.Time { return now }, nil)
	for _, id := range []string{"honest", "second", "wrong"} {
		servers.Put(placement.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 6})
	}
	for range 40 {
		for id, step := range map[string]time.Duration{"honest": 3 * time.Millisecond, "second": 3 * time.Millisecond, "wrong": 9 * time.Millisecond} {
			acquired, _ := servers.AcquireServer(id)
			acquired.RecordLoad(LoadReport{Running: 1, WorkTimePercent: 90})
			var meter paceMeter
			for i := range 40 {
				meter.record(now.Add(time.Duration(i)*step), 1+i)
			}
			acquired.recordPace(meter)
			acquired.Release()
		}
		now = now.Add(20 * time.Millisecond)
	}
	for range 60 {
		acquired := servers.Acquire(PlacementQuery{Service: "s"}, placement.DefaultPolicy())
		g.Expect(acquired.ID()).NotTo(Equal("wrong"))
		acquired.Release()
	}
}
