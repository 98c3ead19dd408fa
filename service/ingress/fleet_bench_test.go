package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/ingress"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	benchDomains = 5
	benchSettle  = 8 * time.Second
	benchMeasure = 10 * time.Second
)

// BenchmarkIdleFleet measures the processor time of an entry host without callers, the store's calls, and the time until a
// new configuration is in force at all hosts, in fleets of 30, 100 and 300 hosts that run in one process. Run it with
// -benchtime=1x.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			if err := logging.Setup(logging.Options{Level: "error", Format: "json", Host: "bench", Output: testWriter{}}); err != nil {
				b.Fatal(err)
			}
			store := objects.New()
			putConfig(store, 1)
			for i := range 54 {
				store.Put(platform.KindServers, fmt.Sprintf("i-%d", i), map[string]any{"service": "s", "address": fmt.Sprintf("127.0.0.1:%d", 1+i), "zone": "a", "slots": 6, "state": "ready"})
			}
			server := httptest.NewServer(store)
			defer server.Close()
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, n)
			var seeds, addresses []string
			for i := range n {
				s := benchSettings(i, server.Listener.Addr().String(), seeds)
				addresses = append(addresses, s.Listen.Callers)
				if len(seeds) < 3 {
					seeds = append(seeds, s.Listen.Peer)
				}
				go func() { done <- ingress.NewHost(s, platform.NewAdapter(s), nil).Run(ctx) }()
			}
			time.Sleep(benchSettle)
			calls, cpu := store.Calls(), processorTime(b)
			time.Sleep(benchMeasure)
			b.ReportMetric(float64(processorTime(b)-cpu)/float64(n)/benchMeasure.Seconds()/1e6, "cpu-ms/host/s")
			b.ReportMetric(float64(store.Calls()-calls)/benchMeasure.Seconds(), "store-calls/s")
			changedAt := time.Now()
			putConfig(store, 2)
			waitForRoute(b, addresses, "/v2/")
			b.ReportMetric(float64(time.Since(changedAt).Milliseconds()), "config-ms")
			cancel()
			for range n {
				<-done
			}
		})
	}
}

func benchSettings(i int, store string, seeds []string) *settings.EntryHost {
	s := &settings.EntryHost{}
	domain := string(rune('a' + i%benchDomains))
	s.Host.Name, s.Host.FailureDomain, s.Host.Region, s.Host.FirstStart = fmt.Sprintf("%s-%d", domain, i), domain, "r", true
	s.Listen.Callers, s.Listen.Ready, s.Listen.Directory = freeAddress(), freeAddress(), freeAddress()
	s.Listen.Peer, s.Listen.Metrics = freeAddress(), freeAddress()
	s.Platform.Address = store
	s.Platform.Timeout, s.Platform.MaxWatchWait, s.Platform.ListInterval = time.Second, 25*time.Second, time.Second
	s.Seeds.Peers = seeds
	s.Limits.Cores, s.Limits.MemoryBytes = 0.192, 112<<20
	if i < 3*benchDomains {
		s.Limits.Cores = 0.8
	}
	s.Shutdown.GracePeriod = time.Second
	return s
}

// waitForRoute waits until all hosts have a configuration with the route. A host without it answers 404.
func waitForRoute(b *testing.B, addresses []string, path string) {
	deadline := time.Now().Add(benchMeasure)
	for _, address := range addresses {
		for {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
			if err != nil {
				b.Fatal(err)
			}
			req.Host = "h"
			req.Header.Set("Hyssopreel-Attempt-Id", "a")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusNotFound {
					break
				}
			}
			if time.Now().After(deadline) {
				b.Fatalf("host %s has no route %s: %v", address, path, err)
			}
		}
	}
}

type testWriter struct{}

func (testWriter) Write(p []byte) (int, error) { return len(p), nil }

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
