package configstate_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/event"
)

func ticket(n uint64) config.Ticket {
	return config.Ticket{Number: n, Author: "ann", Tag: fmt.Sprint(n), Objects: config.Objects{
		Teams: map[string]*config.Team{"t": {MaxBudgetTokens: int64(n), MaxOpenPrograms: 1}},
	}}
}

// documentChain returns the documents 0 to n.
func documentChain(n int) []*configstate.Document {
	docs := []*configstate.Document{{}}
	for i := 1; i <= n; i++ {
		docs = append(docs, docs[i-1].WithTicket(ticket(uint64(i)), 0))
	}
	return docs
}

// Guards against a lower ticket number that comes into force because the store, the peers and the cached copy
// answer in another order, and against a host that ignores the highest number that it received.
func TestNumberOnlyRises(t *testing.T) {
	docs := documentChain(10)
	rapid.Check(t, func(t *rapid.T) {
		s := configstate.NewState()
		var inForce, highestReceived uint64
		synced := false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := rapid.IntRange(0, 10).Draw(t, "number")
			var ev event.Event
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				ev = configstate.DocumentReceived{Origin: configstate.OriginCache, Document: docs[n]}
				if !synced {
					highestReceived = max(highestReceived, uint64(n))
				}
			case 1:
				ev, synced = configstate.DocumentReceived{Origin: configstate.OriginStore, Document: docs[n]}, true
				highestReceived = max(highestReceived, uint64(n))
			case 2:
				n = max(n, 1)
				ev = configstate.TicketPushed{From: "p", BaseNumber: docs[n].BaseNumber, Ticket: docs[n].LastTicket}
			default:
				ev = configstate.PeerNumberReceived{From: "p", Number: uint64(n)}
			}
			for _, effect := range s.Reduce(0, ev) {
				switch e := effect.(type) {
				case configstate.ActivateDocument:
					if e.Document.Number <= inForce {
						t.Fatalf("number %d in force after %d", e.Document.Number, inForce)
					}
					if e.Origin == configstate.OriginCache && synced {
						t.Fatalf("cached copy with number %d used after the store or a peer had answered", e.Document.Number)
					}
					inForce = e.Document.Number
					if got := e.Document.Objects.Teams["t"].MaxBudgetTokens; got != int64(inForce) {
						t.Fatalf("number %d has the content of %d", inForce, got)
					}
				case configstate.FetchDocument:
					if e.Number <= inForce {
						t.Fatalf("fetch of %d with %d in force", e.Number, inForce)
					}
				case configstate.ReportSynced:
					synced = true
				}
			}
			if inForce < highestReceived {
				t.Fatalf("number %d in force after %d was received", inForce, highestReceived)
			}
		}
	})
}

// Guards against a list of accepted tickets that grows without bound, and against a ticket that also changes older
// documents, which share maps with the new one.
func TestMerge(t *testing.T) {
	g := gomega.NewWithT(t)
	docs := documentChain(100)
	last := docs[100]
	g.Expect(last.AcceptedTickets).To(gomega.HaveLen(configstate.MaxAcceptedTickets))
	g.Expect(last.AcceptedTickets[0].Number).To(gomega.Equal(uint64(37)))
	g.Expect(last.HistoryCovers(37)).To(gomega.BeTrue())
	g.Expect(last.HistoryCovers(36)).To(gomega.BeFalse())
	g.Expect(docs[50].Objects.Teams["t"].MaxBudgetTokens).To(gomega.Equal(int64(50)))
	withoutTeam := last.WithTicket(config.Ticket{Number: 101, Objects: config.Objects{Teams: map[string]*config.Team{"t": nil}}}, 0)
	g.Expect(withoutTeam.Objects.Teams).To(gomega.BeEmpty())
	g.Expect(last.Objects.Teams).To(gomega.HaveLen(1))
}

// Guards against an encoding that loses a deletion or depends on the order of map keys.
func TestEncode(t *testing.T) {
	g := gomega.NewWithT(t)
	d := documentChain(3)[3]
	teams := map[string]*config.Team{"t": nil}
	for i := range 20 {
		teams[fmt.Sprint("team", i)] = &config.Team{MaxBudgetTokens: 1, MaxOpenPrograms: 1}
	}
	d = d.WithTicket(config.Ticket{Number: 4, Author: "ann", Objects: config.Objects{Teams: teams}}, 5)
	b, err := d.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	back, err := configstate.Decode(b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(back).To(gomega.Equal(d))
	first, err := msgpack.Marshal(configstate.ActivateDocument{Document: d})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 10 {
		again, err := msgpack.Marshal(configstate.ActivateDocument{Document: back})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again).To(gomega.Equal(first))
	}
	e := event.Envelope{At: 1, Event: configstate.DocumentReceived{Origin: configstate.OriginPeer, Document: d}}
	raw, err := event.Encode(e)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	decoded, err := event.Decode(raw)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(e))
	pushed := configstate.TicketPushed{From: "p", Ticket: d.LastTicket}
	raw, err = event.Encode(event.Envelope{Event: pushed})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	decoded, err = event.Decode(raw)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded.Event).To(gomega.Equal(pushed), "a deletion is still in the decoded ticket")
}

// Guards against a validation that stops at the first problem, so that operators have to fix a ticket step by
// step.
func TestValidateReportsEveryProblem(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := config.Objects{
		Pools: map[string]*config.Pool{
			"e": {Kind: "engine", Model: "m", MaxRunning: 1},
			"s": {Kind: "service", MaxRunning: 1},
			"x": {Kind: "other"},
		},
		Agents: map[string]*config.Agent{
			"a": {Pool: "s", Class: "slow", Tools: []string{"none", "none"}, Services: []string{"svc"}},
			"b": {Pool: "none", Class: "batch", MaxTokens: 1, MaxTurns: -1, Agents: []string{"zed"}},
		},
		Tools:    map[string]*config.Tool{"t": {Address: "http://10.0.0.1:80", CostTokens: -1}},
		Services: map[string]*config.Service{"svc": {Pool: "e", IdempotentPaths: []string{"x"}, TimeLimitMS: 1}},
		Teams:    map[string]*config.Team{"t": {}},
	}
	g.Expect(configstate.Validate(objects)).To(gomega.Equal([]string{
		`pool "x": kind "other" is neither "engine" nor "service"`,
		`pool "x": max_running 0 is not between 1 and 4096`,
		`agent "a": pool "s" is not an engine pool`,
		`agent "a": class "slow" is not "urgent", "interactive" or "batch"`,
		`agent "a": max_tokens 0 is not between 1 and 320000`,
		`agent "a": tool "none" does not exist`,
		`agent "a": tool "none" does not exist`,
		`agent "a": tool "none" is listed twice`,
		`agent "b": pool "none" does not exist`,
		`agent "b": max_turns -1 is not between 0 and 10000`,
		`agent "b": agent "zed" does not exist`,
		`tool "t": address "http://10.0.0.1:80" is not host:port`,
		`tool "t": cost_tokens is negative`,
		`tool "t": time_limit_ms 0 is not between 1 and 3600000`,
		`service "svc": pool "e" is not a service pool`,
		`service "svc": path "x" does not begin with /`,
		`team "t": max_budget_tokens must be positive`,
		`team "t": max_open_programs must be positive`,
	}))
	g.Expect(configstate.ValidateTicket(config.Ticket{Objects: config.Objects{Pools: map[string]*config.Pool{"a/b": nil}}})).To(gomega.HaveLen(3))
}
