package ingress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/service/ingress"
)

// BenchmarkAcquire measures a whole placement, as it happens for each request, among 100 and 1,000 servers of a service, which report
// their load and speed or do not.
func BenchmarkAcquire(b *testing.B) {
	if err := logging.Setup(logging.Options{Level: "error", Format: "json", Host: "bench", Output: testWriter{}}); err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{100, 1000, -100, -1000} {
		reporting := n < 0
		n = max(n, -n)
		b.Run(fmt.Sprintf("candidates=%d,reporting=%v", n, reporting), func(b *testing.B) {
			servers := ingress.NewServers(time.Now, nil)
			for i := range n {
				servers.Put(placement.Server{
					ID: fmt.Sprintf("i-%d", i), Service: "s", Address: "127.0.0.1:1", FailureDomain: string(rune('a' + i%3)), Slots: 16,
				})
			}
			for i := range n {
				acquired, _ := servers.AcquireServer(fmt.Sprintf("i-%d", i))
				if reporting {
					acquired.RecordLoad(ingress.LoadReport{Running: i % 16, WorkTimePercent: 50 + i%200})
				}
				acquired.Release()
			}
			query := ingress.PlacementQuery{Service: "s", Request: placement.Request{PromptTokens: 2000, FailureDomain: "a"}}
			policies := []placement.Policy{placement.DefaultPolicy(), placement.AllowEjectedPolicy()}
			b.ReportAllocs()
			for b.Loop() {
				servers.Acquire(query, policies...).Release()
			}
		})
	}
}
