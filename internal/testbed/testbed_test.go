package testbed

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/configstate"
)

func TestTestbed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Testbed")
}

var _ = Describe("Cluster", func() {
	// Guards against example tickets that no host accepts, and against processes that still run after Close.
	It("runs the stand-ins of each deployment and ends them", func() {
		root, err := RepoRoot()
		Expect(err).NotTo(HaveOccurred())
		bin := GinkgoT().TempDir()
		Expect(Build(root, bin)).To(Succeed())
		for _, d := range Deployments {
			b, err := Start(GinkgoT().TempDir(), Options{Deployment: d, BinDir: bin, RepoRoot: root})
			DeferCleanup(func() { Expect(b.Close()).To(Succeed()) })
			Expect(err).NotTo(HaveOccurred())

			ticket, err := b.LoadDefaultTicket()
			Expect(err).NotTo(HaveOccurred())
			Expect(configstate.ValidateTicket(ticket)).To(BeEmpty())
			Expect(configstate.Validate(ticket.Objects)).To(BeEmpty())

			Expect(b.SetFaults(json.RawMessage(`{"step_ms": 3}`), b.Engines...)).To(Succeed())
			Expect(b.SetFaults(json.RawMessage(`{"misspelled": 3}`), b.Tools)).NotTo(Succeed())
			Expect(b.ClearFaults(b.Engines...)).To(Succeed())
			Expect(b.SetBackendState(b.Engines[:1], "leaving", "", time.Second)).To(Succeed())
			Expect(b.Executions("no such key")).To(BeEmpty())
			counters, err := b.EngineCounters()
			Expect(err).NotTo(HaveOccurred())
			Expect(counters).To(HaveLen(d.EnginePool.Workers))

			Expect(b.RunningProcesses()).To(HaveLen(5))
			Expect(b.Close()).To(Succeed())
			Expect(b.RunningProcesses()).To(BeEmpty())
		}
	})
})
