package ingress

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/routing"
)

// TestObjectsOfStickyRoutesStayAtTheirServer guards against an object that is handled by another server each time, and
// against an effect on routes that are not sticky.
func TestObjectsOfStickyRoutesStayAtTheirServer(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers := NewServers(func() time.Time { return now }, nil)
	for i := range 8 {
		servers.Put(placement.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 8})
	}
	used := func(sticky bool) map[string]int {
		x := exchange{
			ingress: &Ingress{options: Options{FailureDomain: "a"}, poison: newPoisonRecords(time.Now)}, service: "s", request: httptest.NewRequest("GET", "/", nil),
			table: &routing.Table{}, route: &routing.Route{Sticky: sticky}, metadata: RequestMetadata{Object: "o7"},
		}
		out := map[string]int{}
		for range 50 {
			query := x.placementQuery()
			acquired := servers.Acquire(query, placement.DefaultPolicy())
			out[acquired.ID()]++
			g.Expect(servers.explainPlacement(query).Candidates).To(HaveLen(8))
			acquired.Release()
		}
		return out
	}
	g.Expect(used(true)).To(HaveLen(1))
	g.Expect(len(used(false))).To(BeNumerically(">", 4))
}
