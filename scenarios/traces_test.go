package scenarios

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
	"github.com/hyssopreel/hyssopreel/service/replay"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

var recordTraces = flag.Bool("record", false, "write the event logs and their outcomes to testdata/traces")

// maxTraceTokens bounds the tokens of a model's answer, so that the recorded files stay readable.
const maxTraceTokens = 8

// recordedRun is a cluster whose event logs are replayed, with the answers that the callers received.
type recordedRun struct {
	*gomega.WithT
	ctx         context.Context
	cluster     *testbed.Cluster
	seenAnswers []replay.Answer // without waiters
}

func newRecordedRun(t *testing.T, deployment string) *recordedRun {
	r := &recordedRun{WithT: gomega.NewWithT(t), ctx: t.Context()}
	if *recordTraces {
		r.Expect(os.RemoveAll(filepath.Join(root, "testdata", "traces", deployment))).To(gomega.Succeed())
	}
	cluster, err := testbed.Start(t.TempDir(), testbed.Options{Deployment: testbed.Deployments[deployment], Hosts: 3, BinDir: binDir, RepoRoot: root})
	t.Cleanup(func() { _ = cluster.Close() })
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.cluster = cluster
	ticket, err := cluster.LoadDefaultTicket()
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(cluster.ApplyTicket(r.ctx, cluster.Hosts[0], ticket)).To(gomega.Succeed())
	for _, h := range cluster.Hosts {
		r.await(func() error { return cluster.CheckTicketInForce(r.ctx, h, ticket.Number) })
	}
	return r
}

func (r *recordedRun) await(check func() error) {
	ctx, cancel := context.WithTimeout(r.ctx, eventuallyTimeout)
	defer cancel()
	r.Expect(testbed.Await(ctx, check)).To(gomega.Succeed())
}

func (r *recordedRun) openProgram(agent, team string) string {
	var opened api.ProgramOpened
	request := api.OpenProgram{Team: team, Agent: agent, BudgetTokens: 5000}
	r.Expect(r.cluster.Do(r.ctx, r.cluster.Hosts[0].HTTPAddress, http.MethodPost, "/v1/programs", request, &opened)).To(gomega.Succeed())
	r.seenAnswers = append(r.seenAnswers, replay.Answer{Request: "open " + agent + " for " + team, Answer: "opened " + string(opened.ID)})
	return string(opened.ID)
}

// call sends a call, with retries under its key, and records the answer.
func (r *recordedRun) call(id, key, kind string, words ...string) (api.CallAnswer, error) {
	request, err := parseCall(key, kind, words)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	if request.Model != nil {
		request.Model.MaxTokens = maxTraceTokens
	}
	a, err := r.cluster.CallWithRetry(r.ctx, id, request)
	seen := replay.Answer{Request: "call " + id + "/" + key}
	var f *fault.Error
	switch {
	case err == nil:
		seen.Answer = fmt.Sprintf("%s, seq %d: %s", a.State, a.Seq, a.Text)
	case a.State != "":
		r.Expect(a.Error).NotTo(gomega.BeNil())
		seen.Answer = fmt.Sprintf("%s, seq %d: %s, %s", a.State, a.Seq, a.Error.Code, a.Error.Outcome)
	default:
		r.Expect(err).To(gomega.BeAssignableToTypeOf(f))
		f = err.(*fault.Error)
		seen.Answer = fmt.Sprintf("%s, %s", f.Code, f.Outcome)
	}
	r.seenAnswers = append(r.seenAnswers, seen)
	return a, err
}

func (r *recordedRun) mustCall(id, key, kind string, words ...string) api.CallAnswer {
	a, err := r.call(id, key, kind, words...)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	return a
}

// endProgram ends a program and returns its home and the state and history that the home reported.
func (r *recordedRun) endProgram(id string) (*testbed.Host, replay.Program) {
	hosts, err := r.cluster.LookupHosts(r.ctx, nil, id)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	home, err := r.cluster.Host(string(hosts.Hosts[0].Name))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	var status api.ProgramStatus
	r.Expect(r.cluster.Do(r.ctx, home.HTTPAddress, http.MethodPost, "/v1/programs/"+id+"/end", nil, &status)).To(gomega.Succeed())
	var history api.History
	r.Expect(r.cluster.Do(r.ctx, home.HTTPAddress, http.MethodGet, "/v1/programs/"+id+"/history", nil, &history)).To(gomega.Succeed())
	return home, replay.SummarizeProgram(status, history)
}

// readEventLog kills a host and returns the complete records of its event log; the last record may be truncated.
func (r *recordedRun) readEventLog(h *testbed.Host) []byte {
	r.Expect(h.Kill()).To(gomega.Succeed())
	b, err := os.ReadFile(filepath.Join(r.cluster.Dir, h.Name+".events"))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	reader := bytes.NewReader(b)
	var out bytes.Buffer
	for {
		rec, err := runtime.ReadLogRecord(reader)
		if err != nil {
			return out.Bytes()
		}
		r.Expect(runtime.WriteLogRecord(&out, rec)).To(gomega.Succeed())
	}
}

// replayOutcomes replays a host's event log and returns the outcomes. With -record, it writes both to
// testdata/traces.
func (r *recordedRun) replayOutcomes(h *testbed.Host) *replay.Summary {
	eventLog := r.readEventLog(h)
	summary, err := replay.Summarize(bytes.NewReader(eventLog))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	if !*recordTraces {
		return summary
	}
	dir := filepath.Join(root, "testdata", "traces", r.cluster.Options.Deployment.Name)
	r.Expect(os.MkdirAll(dir, 0o755)).To(gomega.Succeed())
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBestCompression))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(os.WriteFile(filepath.Join(dir, h.Name+".events.zst"), encoder.EncodeAll(eventLog, nil), 0o644)).To(gomega.Succeed())
	var b bytes.Buffer
	r.Expect(summary.Write(&b)).To(gomega.Succeed())
	r.Expect(os.WriteFile(filepath.Join(dir, h.Name+".outcomes.json"), b.Bytes(), 0o644)).To(gomega.Succeed())
	return summary
}

// expectSeenAnswers checks that the replays contain each answer that a caller received, at least as often as it was
// received.
func (r *recordedRun) expectSeenAnswers(replayed ...*replay.Summary) {
	unmatched := map[string]int{}
	for _, summary := range replayed {
		for _, a := range summary.Answers {
			unmatched[a.Request+" -> "+a.Answer]++
		}
	}
	for _, a := range r.seenAnswers {
		text := a.Request + " -> " + a.Answer
		r.Expect(unmatched[text]).To(gomega.BeNumerically(">", 0), text)
		unmatched[text]--
	}
}

// Guards against a replay whose outcomes differ from what the callers received. The home of two programs is killed
// while a payout runs, and its programs are taken over.
func TestTraceTobyl(t *testing.T) {
	r := newRecordedRun(t, "tobyl")
	formerHome := r.cluster.Hosts[0]
	first, second := r.openProgram("judge", "bench-1"), r.openProgram("judge", "bench-2")
	r.mustCall(first, "m1", "model", "describe the entry")
	r.mustCall(first, "s1", "tool", "species-check", `{"entry": 14}`)
	r.mustCall(first, "r1", "tool", "registration", `{"entry": 14}`)
	r.mustCall(first, "h1", "agent", "helper", "2000", "is the lip true to type")
	r.mustCall(first, "b1", "service", "bench-app", "POST", "/scores", `{"score": 87}`)
	r.mustCall(second, "m1", "model", "describe the other entry")

	payoutErr := make(chan error, 1)
	request, err := parseCall("pay", "tool", []string{"payout", `{"entry": 14, "sleep_ms": 1000}`})
	r.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		payoutErr <- r.cluster.Do(r.ctx, formerHome.HTTPAddress, http.MethodPost, "/v1/programs/"+first+"/calls", request, nil)
	}()
	r.await(func() error {
		n, err := r.cluster.Executions(first + "/pay")
		if err == nil && len(n) == 0 {
			err = fmt.Errorf("the payout of program %s has not started", first)
		}
		return err
	})
	r.Expect(formerHome.Kill()).To(gomega.Succeed())
	r.Expect(<-payoutErr).To(gomega.HaveOccurred())

	answer, err := r.call(first, "pay", "tool", "payout", `{"entry": 14, "sleep_ms": 1000}`)
	r.Expect(err).To(gomega.HaveOccurred())
	r.Expect(answer.State).To(gomega.Equal("unknown"))
	r.mustCall(first, "m2", "model", "give the verdict")
	r.mustCall(second, "m2", "model", "give the other verdict")
	successor, endedFirst := r.endProgram(first)
	secondHome, endedSecond := r.endProgram(second)
	r.Expect(secondHome).To(gomega.Equal(successor))
	executions, err := r.cluster.Executions(first + "/pay")
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(executions).To(gomega.Equal(map[string]int64{"tools": 1}))

	formerSummary, successorSummary := r.replayOutcomes(formerHome), r.replayOutcomes(successor)
	r.Expect(successorSummary.Programs).To(gomega.ContainElements(endedFirst, endedSecond))
	r.Expect(successorSummary.Ticket).To(gomega.Equal(uint64(1)))
	r.Expect(formerSummary.Ticket).To(gomega.Equal(uint64(1)))
	r.Expect(formerSummary.NonIdempotentDispatches).To(gomega.Equal(map[string]int{first + "/r1": 1, first + "/b1": 1, first + "/pay": 1}))
	r.Expect(successorSummary.NonIdempotentDispatches).To(gomega.BeEmpty())
	// The successor has the key and kind of the call from its intent.
	r.Expect(endedFirst.Turns[5]).To(gomega.Equal(replay.Turn{Seq: 6, Key: "pay", Kind: api.CallTool, Outcome: "outcome_unknown, outcome unknown"}))
	for _, before := range formerSummary.Programs {
		for _, after := range []replay.Program{endedFirst, endedSecond} {
			if before.ID == after.ID {
				r.Expect(after.Turns[:len(before.Turns)]).To(gomega.Equal(before.Turns))
			}
		}
	}
	r.expectSeenAnswers(formerSummary, successorSummary)
}

// Guards against a replay whose outcomes differ from what the callers received. The confirmation text of a booking is
// requested twice under one key and sent once.
func TestTraceTallowcreek(t *testing.T) {
	r := newRecordedRun(t, "tallowcreek")
	program := r.openProgram("dispatch-assistant", "haulage")
	r.mustCall(program, "m1", "model", "a tanker to the quarry tomorrow")
	r.mustCall(program, "slots", "service", "booking-app", "POST", "/slots", `{"day": 2}`)
	r.mustCall(program, "route", "agent", "route-planner", "2000", "depot to quarry")
	r.mustCall(program, "book", "tool", "booking", `{"slot": 3}`)
	text := r.mustCall(program, "text", "tool", "driver-text", `{"message": "slot 3"}`)
	again := r.mustCall(program, "text", "tool", "driver-text", `{"message": "slot 3"}`)
	r.Expect(again).To(gomega.Equal(text))
	_, err := r.call(program, "text", "tool", "driver-text", `{"message": "slot 4"}`)
	r.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(string(fault.CodeKeyReused))))
	r.mustCall(program, "m2", "model", "confirm the booking")
	home, ended := r.endProgram(program)
	executions, err := r.cluster.Executions(program + "/text")
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(executions).To(gomega.Equal(map[string]int64{"tools": 1}))

	summary := r.replayOutcomes(home)
	r.Expect(summary.Programs).To(gomega.ContainElement(ended))
	r.Expect(summary.Ticket).To(gomega.Equal(uint64(1)))
	r.Expect(summary.NonIdempotentDispatches).To(gomega.Equal(map[string]int{program + "/book": 1, program + "/text": 1}))
	r.expectSeenAnswers(summary)
}
