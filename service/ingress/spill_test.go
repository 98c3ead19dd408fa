package ingress

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// newSpillServers returns the servers of two failure domains with two engines of 6 slots each, as a host in domain a
// sees them, and a function that sends one turn of 10 KiB and returns the domain that it went to.
func newSpillServers(t *testing.T, now *time.Time) (servers *Servers, send func() *AcquiredServer) {
	t.Helper()
	servers = NewServers(func() time.Time { return *now }, nil)
	servers.SetHostCount(2)
	for _, domain := range []string{"a", "b"} {
		for i := range 2 {
			servers.Put(placement.Server{ID: fmt.Sprint(domain, i), Service: "s", Address: "127.0.0.1:1", FailureDomain: domain, Slots: 6})
		}
	}
	return servers, func() *AcquiredServer {
		query := PlacementQuery{Service: "s", Request: placement.Request{PromptTokens: 500, FailureDomain: "a", TransferBytes: 10 << 10}}
		return servers.Acquire(query, placement.DefaultPolicy(), placement.AllowEjectedPolicy())
	}
}

// sendWhileLoaded sends turns for a time, while other hosts have the given numbers of requests at the engines, and returns
// the reasons of those that left.
func sendWhileLoaded(servers *Servers, send func() *AcquiredServer, now *time.Time, duration time.Duration, loadA0, loadA1, loadB int) (left map[string]int, total int) {
	left = map[string]int{}
	for end := now.Add(duration); now.Before(end); *now = now.Add(20 * time.Millisecond) {
		servers.SetHostLoad("other", map[string]int{"a0": loadA0, "a1": loadA1, "b0": loadB, "b1": loadB}, *now)
		acquired := send()
		if acquired.backend.info.FailureDomain != "a" {
			left[acquired.route.reason]++
		}
		total++
		acquired.Release()
	}
	return left, total
}

// TestQuietDomainKeepsItsRequests guards against traffic between failure domains that only evens out their load.
func TestQuietDomainKeepsItsRequests(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers, send := newSpillServers(t, &now)
	left, _ := sendWhileLoaded(servers, send, &now, 5*time.Second, 4, 4, 0)
	g.Expect(left).To(BeEmpty())
}

// TestShortDomainSendsAShare guards against a domain that keeps all its requests, or none, while its engines are nearly
// full and another domain is idle.
func TestShortDomainSendsAShare(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers, send := newSpillServers(t, &now)
	sendWhileLoaded(servers, send, &now, 2*time.Second, 3, 3, 0)
	left, total := sendWhileLoaded(servers, send, &now, 300*time.Millisecond, 5, 6, 0)
	g.Expect(left[reasonShortage]).To(BeNumerically("<", total/2), "of %d in the first 300 ms", total)
	left, total = sendWhileLoaded(servers, send, &now, 10*time.Second, 5, 6, 0)
	g.Expect(left[reasonShortage]).To(And(BeNumerically(">", total/20), BeNumerically("<", total/2)), "of %d", total)
	g.Expect(left).To(HaveLen(1))
}

// TestRequestsAbroadCountAsOffered guards against a domain that takes back what it has sent to others, because its own
// servers are no longer short then.
func TestRequestsAbroadCountAsOffered(t *testing.T) {
	g := NewWithT(t)
	leaving := func(inDomain bool) bool {
		now := time.Unix(1000, 0)
		servers, send := newSpillServers(t, &now)
		for range 100 {
			servers.SetHostLoad("other", map[string]int{"a0": 4, "a1": 4, "b0": 3, "b1": 2}, now)
			servers.SetHostInDomain("other", inDomain)
			send().Release()
			now = now.Add(20 * time.Millisecond)
		}
		return servers.explainPlacement(PlacementQuery{Service: "s"}).Leaving
	}
	g.Expect(leaving(true)).To(BeTrue())
	g.Expect(leaving(false)).To(BeFalse(), "another domain's requests")
}

// TestLostDomainLeaves guards against requests that fail because their own failure domain has no server.
func TestLostDomainLeaves(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers, send := newSpillServers(t, &now)
	sendWhileLoaded(servers, send, &now, time.Second, 1, 1, 1)
	servers.Remove("a0", "test")
	servers.Remove("a1", "test")
	left, total := sendWhileLoaded(servers, send, &now, time.Second, 1, 1, 1)
	g.Expect(left).To(Equal(map[string]int{reasonNoServer: total}))
}

// TestTrafficIsCounted guards against bytes between failure domains that no metric shows.
func TestTrafficIsCounted(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers, send := newSpillServers(t, &now)
	var counted []domainTraffic
	servers.onTraffic = func(d domainTraffic) { counted = append(counted, d) }
	send().Release() // nothing was sent
	acquired := send()
	acquired.route.recordSent(700)
	acquired.route.recordReceived(30)
	acquired.route.recordReceived(12)
	acquired.Release()
	resumed, _ := servers.AcquireServer("b0")
	resumed.route.recordSent(5)
	resumed.Release()
	g.Expect(counted).To(Equal([]domainTraffic{
		{domain: "a", reason: reasonHome, requestBytes: 700, responseBytes: 42}, {domain: "b", reason: reasonResumed, requestBytes: 5},
	}))
}
