package sched_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

var _ core.Subsystem = sched.NewState()

func twoWorkers(maxRunning int) sched.GroupChanged {
	return sched.GroupChanged{Group: "g/0", Workers: []sched.Worker{
		{Name: "w1", Usable: true, MaxRunning: maxRunning, CacheTokens: 1000},
		{Name: "w2", Usable: true, MaxRunning: maxRunning, CacheTokens: 1000},
	}, Policy: "affinity"}
}

func enqueued(program, key string, turn int) sched.Enqueued {
	return sched.Enqueued{
		Call:  sched.CallID{Program: ids.Program(program), Key: key, Attempt: 1},
		Group: "g/0", Home: "a.1", Agent: "judge", Class: sched.ClassInteractive, Turn: turn, PromptTokens: 100,
	}
}

func grants(effects []event.Effect) []sched.Grant {
	var out []sched.Grant
	for _, e := range effects {
		if g, ok := e.(sched.Grant); ok {
			out = append(out, g)
		}
	}
	return out
}

// Guards against a program that is moved away from its cached prefix while its worker has a free place.
func TestAffinityReturnsToCachedPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(1, twoWorkers(2))
	s.Reduce(2, enqueued("a.1-1", "k1", 0))
	first := grants(s.Reduce(3, enqueued("a.1-2", "k1", 0)))
	g.Expect(first).To(gomega.HaveLen(1))
	g.Expect(first[0].Worker).To(gomega.Equal("w2"))
	s.Reduce(4, sched.Finished{Call: first[0].Call, Group: "g/0", Worker: "w2", PromptTokens: 100, GeneratedTokens: 10})
	again := grants(s.Reduce(5, enqueued("a.1-2", "k2", 1)))
	g.Expect(again).To(gomega.HaveLen(1))
	g.Expect(again[0].Worker).To(gomega.Equal("w2"))
}
