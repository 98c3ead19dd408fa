package turnlog

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against hosts that are taken for complete while the only copies are on hosts that do not answer, or are lost.
func TestLossesBeyondTheToleratedNumber(t *testing.T) {
	hosts := func(lost, refilling, refillingAndLost int) []Host {
		list := []Host{{State: Ready}, {State: Retiring}}
		for range lost {
			list = append(list, Host{State: Lost})
		}
		for range refilling {
			list = append(list, Host{State: Ready, Refilling: true})
		}
		for range refillingAndLost {
			list = append(list, Host{State: Lost, Refilling: true})
		}
		return list
	}
	for _, c := range []struct {
		lost, refilling, both int
		mayMiss, leavesACopy  bool
	}{
		{0, 0, 0, false, true},
		{0, 2, 0, false, true},
		{1, 1, 0, false, true},
		{0, 1, 1, false, true},
		{1, 2, 0, false, false},
		{0, 2, 1, false, false},
		{3, 0, 0, false, false},
		{0, 3, 0, true, true},
		{1, 3, 0, true, false},
	} {
		l := CountLosses(hosts(c.lost, c.refilling, c.both))
		g := NewWithT(t)
		g.Expect(l.MayMissTurns(2)).To(Equal(c.mayMiss), "%+v", c)
		g.Expect(l.LeavesACopy(2)).To(Equal(c.leavesACopy), "%+v", c)
	}
}
