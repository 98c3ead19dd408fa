package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// TestExplanationAgreesWithTheChoice guards against an explanation that differs from what placement does, or changes it.
func TestExplanationAgreesWithTheChoice(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	servers, send := newSpillServers(t, &now)
	sendWhileLoaded(servers, send, &now, 3*time.Second, 5, 6, 1)
	query := PlacementQuery{
		Service: "s", Request: placement.Request{PromptTokens: 500, FailureDomain: "a", TransferBytes: 10 << 10}, CacheServer: "b1", CachedTokens: 500,
	}
	view := servers.explainPlacement(query)
	g.Expect(servers.InFlightByServer()).To(BeEmpty())
	g.Expect(servers.explainPlacement(query)).To(Equal(view))
	g.Expect(view.Choice.Server).To(Equal("b1"))
	g.Expect(view.Choice.Reason).To(Equal(reasonCachedPrompt))
	g.Expect(servers.Acquire(query, placement.DefaultPolicy()).ID()).To(Equal("b1"))

	query.CacheServer = ""
	servers.MarkMissing("a0")
	now = now.Add(missingEntryGrace)
	servers.SetHostLoad("other", map[string]int{"a0": 5, "a1": 5, "b0": 1, "b1": 1}, now)
	view = servers.explainPlacement(query)
	g.Expect(view.Choice.Server).To(Equal("a1"))
	g.Expect(view.Candidates[0].Server).To(Equal("a1"))
	g.Expect(view.Candidates[len(view.Candidates)-1].Server).To(Equal("a0"))
	g.Expect(view.Candidates[len(view.Candidates)-1].RejectedBy).To(Equal([]string{"draining"}))
	g.Expect(view.Candidates[1].CostsMS).To(HaveKeyWithValue("domain", BeNumerically("~", 10, 0.1)))
	g.Expect(view.Leaving).To(BeTrue())
	g.Expect(view.Domains[1].Share).To(BeNumerically(">", 0))
	g.Expect(view.Domains[1].Choice.Server).To(HavePrefix("b"))
}
