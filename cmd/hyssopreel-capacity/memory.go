package main

import (
	"fmt"
	"runtime"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapBytesOf returns the heap bytes that the result of build keeps allocated.
func heapBytesOf(build func() any) float64 {
	before := heapBytes()
	result := build()
	after := heapBytes()
	runtime.KeepAlive(result)
	return after - before
}

func measureMemory(o options) error {
	for _, c := range []struct {
		name             string
		turns, turnBytes int
		active           bool
		maxPrograms      int
	}{
		{"idle program without history", 0, 0, false, 1 << 30},
		{"idle program with 8 turns without text", 8, 0, false, 1 << 30},
		{"idle program with 8 turns of 4571 bytes", 8, turnBytes, false, 10_000},
		{"active program without history", 0, 0, true, 1 << 30},
	} {
		s := newSeries(c.name, "programs", "bytes")
		for _, n := range o.ProgramCounts {
			if n > c.maxPrograms {
				n = c.maxPrograms / 2 // 50,000 programs would need 2 GB of text
			}
			s.add(float64(n), heapBytesOf(func() any {
				h := newHome(n)
				for t := range c.turns {
					for _, p := range h.programs {
						h.runCall(p, fmt.Sprintf("key-%d", t), c.turnBytes)
					}
				}
				if c.active {
					for _, p := range h.programs {
						h.startCall(p, "key-0", 0)
					}
				}
				return h
			}))
		}
		s.printFit()
	}
	measureSched(o)
	measureMembers()
	return measureDocument()
}

func enqueuedEvent(group string, n int) sched.Enqueued {
	return sched.Enqueued{
		Call: sched.CallID{Program: ids.NewProgram(journalID, uint64(n)), Key: "key-17", Attempt: 1}, Group: group, Home: journalID,
		Agent: "judge", Class: sched.ClassInteractive, Turns: 17, AttainedTokens: 100_000, PromptTokens: 20_000, MaxTokens: 1024,
		AgeMS: 900_000, PausedMS: 1500, ServedBy: []string{"reel-lm-4711"},
	}
}

func groupWithWorkers(workers int) sched.GroupChanged {
	g := sched.GroupChanged{Group: "lm/0"}
	for i := range workers {
		g.Workers = append(g.Workers, sched.Worker{Name: fmt.Sprintf("reel-lm-%04d", i), Usable: true, MaxRunning: 8, CacheCapacityTokens: 100_000})
	}
	return g
}

func measureSched(o options) {
	waiting := newSeries("waiting call of a program of its own", "calls", "bytes")
	idle := newSeries("program without a call at its scheduler", "programs", "bytes")
	for _, n := range o.ProgramCounts {
		waiting.add(float64(n), heapBytesOf(func() any {
			s := sched.NewState() // no workers, so that nothing is granted
			for i := range n {
				s.Reduce(1000, enqueuedEvent("lm/0", i))
			}
			return s
		}))
		idle.add(float64(n), heapBytesOf(func() any {
			s := sched.NewState()
			s.Reduce(1000, groupWithWorkers(64))
			for i := range n {
				enqueued := enqueuedEvent("lm/0", i)
				enqueued.RunningOn = "reel-lm-0001"
				s.Reduce(1000, enqueued)
				s.Reduce(1000, sched.Finished{Call: enqueued.Call, Group: enqueued.Group, Worker: enqueued.RunningOn, PromptTokens: 10, GeneratedTokens: 10})
			}
			// The scheduler drops the IDs of ended calls after a minute.
			s.Reduce(100_000, sched.Ticked{Group: "lm/0"})
			s.Reduce(200_000, sched.Ticked{Group: "lm/0"})
			return s
		}))
	}
	waiting.printFit()
	idle.printFit()
	workers := newSeries("worker of a group", "workers", "bytes")
	for _, n := range []int{64, 640, 6000} {
		workers.add(float64(n), heapBytesOf(func() any {
			s := sched.NewState()
			s.Reduce(1000, groupWithWorkers(n))
			return s
		}))
	}
	workers.printFit()
}

func testMembers(n int) []membership.Member {
	members := make([]membership.Member, n)
	for i := range members {
		name := ids.Host(fmt.Sprintf("almaty-%c-%d", 'a'+i%13, 1+i/13))
		members[i] = membership.Member{
			Name: name, Journal: ids.NewJournal(name, 7), Incarnation: 7, FailureDomain: fmt.Sprintf("almaty-%c", 'a'+i%13),
			Region: "almaty", HTTPAddress: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:8081", i/250, i%250),
			State: membership.StateUp, Version: 3,
		}
	}
	return members
}

func membershipReducer(n int) (*membership.Reducer, []membership.Member) {
	m := testMembers(n)
	r := membership.New()
	r.Reduce(1000, membership.Started{
		Self: m[0], Lease: membership.Lease{Host: m[0].Name, Incarnation: 7, State: membership.LeaseHeld}, Version: 1, SentAt: 1000, Members: m, WriteIDPrefix: "p",
	})
	return r, m
}

func measureMembers() {
	s := newSeries("member", "members", "bytes")
	for _, n := range []int{9, 90, 370, 3700} {
		s.add(float64(n), heapBytesOf(func() any { r, _ := membershipReducer(n); return r }))
	}
	s.printFit()
}

func testTicket(number uint64, team string) config.Ticket {
	return config.Ticket{
		Number: number, Author: "operations@tobyl.example", Comment: "raise a team's limit", Tag: fmt.Sprintf("tag-%016x", number),
		Objects: config.Objects{Teams: map[string]*config.Team{team: {MaxBudgetTokens: 320_000, MaxOpenPrograms: 500}}},
	}
}

func measureDocument() error {
	inMemory := newSeries("configuration document in memory", "teams", "bytes")
	stored := newSeries("configuration document in the store", "teams", "bytes")
	build := func(teams, tickets int) *configstate.Document {
		d := &configstate.Document{Config: testConfig(teams)}
		for i := range tickets {
			d = d.WithTicket(testTicket(uint64(i+2), "team-0001"), 1000)
		}
		return d
	}
	for _, n := range []int{100, 300, 1000} {
		inMemory.add(float64(n), heapBytesOf(func() any { return build(n, 64) }))
		b, err := build(n, 64).Encode()
		if err != nil {
			return err
		}
		stored.add(float64(n), float64(len(b)))
	}
	inMemory.printFit()
	stored.printFit()
	accepted := newSeries("accepted ticket in memory (at most 64 are kept)", "tickets", "bytes")
	for _, n := range []int{0, 16, 32, 64, 128} {
		accepted.add(float64(n), heapBytesOf(func() any { return build(10, n) }))
	}
	b, err := configstate.EncodeTicket(testTicket(1, "team-0001"))
	fmt.Printf("body of a ticket for one team in the store: %d bytes\n", len(b))
	return err
}
