package turnlog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a rate of copies, a time until a host counts as lost, or an amount of turns with which the copies of a full
// host take longer than the bound, or leave callers no bandwidth.
func TestRecoveryFitsIntoItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		bound := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
		usable := rapid.Int64Range(1<<20, 100<<30).Draw(t, "bytes")
		link := rapid.Float64Range(1e6, 2e9).Draw(t, "link")
		r := PlanRecovery(bound, usable, link)
		g.Expect(r.MaxBytes).To(BeNumerically("<=", usable))
		g.Expect(r.CopyBytesPerSecond).To(BeNumerically("<", 0.8*link))
		g.Expect(r.ServeBytesPerSecond).To(BeNumerically("<", 0.8*link))
		copying := time.Duration(float64(r.MaxBytes) / r.CopyBytesPerSecond * float64(time.Second))
		g.Expect(r.LostAfter + copying).To(BeNumerically("<", bound))
	})
}

// Guards against disks that take fewer turns although the link carries their copies in time.
func TestRecoveryOfAnOrdinaryDiskLimitsNoTurns(t *testing.T) {
	g := NewWithT(t)
	g.Expect(PlanRecovery(6*time.Second, 153<<20, 75e6).MaxBytes).To(BeNumerically(">=", 150<<20))
	g.Expect(PlanRecovery(6*time.Second, 153<<20, 0).MaxBytes).To(Equal(int64(153 << 20)))
}
