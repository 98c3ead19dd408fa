package placement_test

import (
	"fmt"
	"testing"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// BenchmarkChoose measures the choice among 100 and 1,000 servers in three failure domains.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			candidates := make([]placement.Candidate, n)
			for i := range candidates {
				candidates[i] = engine(fmt.Sprintf("i-%d", i), float64(i%16), 0)
				candidates[i].Server.FailureDomain = string(rune('a' + i%3))
			}
			r := placement.Request{PromptTokens: 2000, FailureDomain: "a", ExcludedServers: map[string]bool{"i-0": true}}
			policy := placement.DefaultPolicy()
			b.ReportAllocs()
			for b.Loop() {
				if policy.Choose(r, candidates) < 0 {
					b.Fatal("no server was chosen")
				}
			}
		})
	}
}

// BenchmarkRankForObject measures what the object of a request adds.
func BenchmarkRankForObject(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			candidates := make([]placement.Candidate, n)
			for i := range candidates {
				candidates[i] = engine(fmt.Sprintf("i-%d", i), 0, 0)
				candidates[i].Server.FailureDomain = string(rune('a' + i%3))
			}
			r := placement.Request{FailureDomain: "a"}
			for b.Loop() {
				placement.RankForObject(&r, "object", candidates)
			}
		})
	}
}
