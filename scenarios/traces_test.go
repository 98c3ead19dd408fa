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

// maxTraceTokens keeps the model's answers short, so that the files stay readable.
const maxTraceTokens = 8

// recordedRun is a run whose event logs are replayed. It notes what the callers saw.
type recordedRun struct {
	*gomega.WithT
	ctx         context.Context
	bed         *testbed.Cluster
	seenAnswers []replay.Answer // without waiters
}

func newRecordedRun(t *testing.T, deployment string) *recordedRun {
	r := &recordedRun{WithT: gomega.NewWithT(t), ctx: t.Context()}
	if *recordTraces {
		r.Expect(os.RemoveAll(filepath.Join(root, "testdata", "traces", deployment))).To(gomega.Succeed())
	}
	bed, err := testbed.Start(t.TempDir(), testbed.Options{Deployment: testbed.Deployments[deployment], Hosts: 3, BinDir: binDir, RepoRoot: root})
	t.Cleanup(func() { _ = bed.Close() })
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.bed = bed
	ticket, err := bed.LoadDefaultTicket()
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(bed.ApplyTicket(r.ctx, bed.Hosts[0], ticket)).To(gomega.Succeed())
	for _, h := range bed.Hosts {
		r.await(func() error { return bed.CheckTicketInForce(r.ctx, h, ticket.Number) })
	}
	return r
}

func (r *recordedRun) await(check func() error) {
	ctx, cancel := context.WithTimeout(r.ctx, eventuallyTimeout)
	defer cancel()
	r.Expect(testbed.Await(ctx, check)).To(gomega.Succeed())
}

func (r *recordedRun) openProgram(agent, team string) string {
	var o api.ProgramOpened
	q := api.OpenProgram{Team: team, Agent: agent, BudgetTokens: 5000}
	r.Expect(r.bed.Do(r.ctx, r.bed.Hosts[0].HTTPAddress, http.MethodPost, "/v1/programs", q, &o)).To(gomega.Succeed())
	r.seenAnswers = append(r.seenAnswers, replay.Answer{Request: "open " + agent + " for " + team, Answer: "opened " + string(o.ID)})
	return string(o.ID)
}

// call makes a call as a caller that keeps its key, and notes the answer.
func (r *recordedRun) call(id, key, kind string, words ...string) (api.CallAnswer, error) {
	request, err := parseCall(key, kind, words)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	if request.Model != nil {
		request.Model.MaxTokens = maxTraceTokens
	}
	a, err := r.bed.CallWithRetry(r.ctx, id, request)
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

// endProgram ends a program and returns its home and how its home showed it.
func (r *recordedRun) endProgram(id string) (*testbed.Host, replay.Program) {
	hosts, err := r.bed.LookupHosts(r.ctx, nil, id)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	home, err := r.bed.Host(string(hosts.Hosts[0].Name))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	var status api.ProgramStatus
	r.Expect(r.bed.Do(r.ctx, home.HTTPAddress, http.MethodPost, "/v1/programs/"+id+"/end", nil, &status)).To(gomega.Succeed())
	var history api.History
	r.Expect(r.bed.Do(r.ctx, home.HTTPAddress, http.MethodGet, "/v1/programs/"+id+"/history", nil, &history)).To(gomega.Succeed())
	return home, replay.SummarizeProgram(status, history)
}

// readEventLog returns the whole records of a host's event log; a killed host may have left a cut-off one at the end.
func (r *recordedRun) readEventLog(h *testbed.Host) []byte {
	r.Expect(h.Kill()).To(gomega.Succeed())
	b, err := os.ReadFile(filepath.Join(r.bed.Dir, h.Name+".events"))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	rd := bytes.NewReader(b)
	var out bytes.Buffer
	for {
		rec, err := runtime.ReadLogRecord(rd)
		if err != nil {
			return out.Bytes()
		}
		r.Expect(runtime.WriteLogRecord(&out, rec)).To(gomega.Succeed())
	}
}

// replayOutcomes returns the outcomes of a host's log. With -record, it writes both to testdata/traces.
func (r *recordedRun) replayOutcomes(h *testbed.Host) *replay.Summary {
	log := r.readEventLog(h)
	o, err := replay.Summarize(bytes.NewReader(log))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	if !*recordTraces {
		return o
	}
	dir := filepath.Join(root, "testdata", "traces", r.bed.Options.Deployment.Name)
	r.Expect(os.MkdirAll(dir, 0o755)).To(gomega.Succeed())
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBestCompression))
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(os.WriteFile(filepath.Join(dir, h.Name+".events.zst"), e.EncodeAll(log, nil), 0o644)).To(gomega.Succeed())
	var b bytes.Buffer
	r.Expect(o.Write(&b)).To(gomega.Succeed())
	r.Expect(os.WriteFile(filepath.Join(dir, h.Name+".outcomes.json"), b.Bytes(), 0o644)).To(gomega.Succeed())
	return o
}

// expectSeenAnswers checks that the answers that the callers got are answers of the replays, each of another waiter.
func (r *recordedRun) expectSeenAnswers(replayed ...*replay.Summary) {
	left := map[string]int{}
	for _, o := range replayed {
		for _, a := range o.Answers {
			left[a.Request+" -> "+a.Answer]++
		}
	}
	for _, a := range r.seenAnswers {
		text := a.Request + " -> " + a.Answer
		r.Expect(left[text]).To(gomega.BeNumerically(">", 0), text)
		left[text]--
	}
}

// Guards against a replay that comes to something else than the callers of the run saw: a judging round whose home is
// killed while a payout runs, and whose programs are taken over.
func TestTraceTobyl(t *testing.T) {
	r := newRecordedRun(t, "tobyl")
	a := r.bed.Hosts[0]
	p, q := r.openProgram("judge", "bench-1"), r.openProgram("judge", "bench-2")
	r.mustCall(p, "m1", "model", "describe the entry")
	r.mustCall(p, "s1", "tool", "species-check", `{"entry": 14}`)
	r.mustCall(p, "r1", "tool", "registration", `{"entry": 14}`)
	r.mustCall(p, "h1", "agent", "helper", "2000", "is the lip true to type")
	r.mustCall(p, "b1", "service", "bench-app", "POST", "/scores", `{"score": 87}`)
	r.mustCall(q, "m1", "model", "describe the other entry")

	pay := make(chan error, 1)
	request, err := parseCall("pay", "tool", []string{"payout", `{"entry": 14, "sleep_ms": 1000}`})
	r.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		pay <- r.bed.Do(r.ctx, a.HTTPAddress, http.MethodPost, "/v1/programs/"+p+"/calls", request, nil)
	}()
	r.await(func() error {
		n, err := r.bed.Executions(p + "/pay")
		if err == nil && len(n) == 0 {
			err = fmt.Errorf("the payout has not begun")
		}
		return err
	})
	r.Expect(a.Kill()).To(gomega.Succeed())
	r.Expect(<-pay).To(gomega.HaveOccurred())

	answer, err := r.call(p, "pay", "tool", "payout", `{"entry": 14, "sleep_ms": 1000}`)
	r.Expect(err).To(gomega.HaveOccurred())
	r.Expect(answer.State).To(gomega.Equal("unknown"))
	r.mustCall(p, "m2", "model", "give the verdict")
	r.mustCall(q, "m2", "model", "give the other verdict")
	heir, endedP := r.endProgram(p)
	other, endedQ := r.endProgram(q)
	r.Expect(other).To(gomega.Equal(heir))
	executions, err := r.bed.Executions(p + "/pay")
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(executions).To(gomega.Equal(map[string]int64{"tools": 1}))

	former, now := r.replayOutcomes(a), r.replayOutcomes(heir)
	r.Expect(now.Programs).To(gomega.ContainElements(endedP, endedQ))
	r.Expect(now.Ticket).To(gomega.Equal(uint64(1)))
	r.Expect(former.Ticket).To(gomega.Equal(uint64(1)))
	r.Expect(former.NonIdempotentDispatches).To(gomega.Equal(map[string]int{p + "/r1": 1, p + "/b1": 1, p + "/pay": 1}))
	r.Expect(now.NonIdempotentDispatches).To(gomega.BeEmpty())
	// The intent tells the heir what the call was.
	r.Expect(endedP.Turns[5]).To(gomega.Equal(replay.Turn{Seq: 6, Key: "pay", Kind: api.CallTool, Outcome: "outcome_unknown, outcome unknown"}))
	for _, before := range former.Programs {
		for _, after := range []replay.Program{endedP, endedQ} {
			if before.ID == after.ID {
				r.Expect(after.Turns[:len(before.Turns)]).To(gomega.Equal(before.Turns))
			}
		}
	}
	r.expectSeenAnswers(former, now)
}

// Guards against a replay that comes to something else than the callers of the run saw: a booking whose confirmation
// text is asked for twice under one key and sent once.
func TestTraceTallowcreek(t *testing.T) {
	r := newRecordedRun(t, "tallowcreek")
	p := r.openProgram("dispatch-assistant", "haulage")
	r.mustCall(p, "m1", "model", "a tanker to the quarry tomorrow")
	r.mustCall(p, "slots", "service", "booking-app", "POST", "/slots", `{"day": 2}`)
	r.mustCall(p, "route", "agent", "route-planner", "2000", "depot to quarry")
	r.mustCall(p, "book", "tool", "booking", `{"slot": 3}`)
	text := r.mustCall(p, "text", "tool", "driver-text", `{"message": "slot 3"}`)
	again := r.mustCall(p, "text", "tool", "driver-text", `{"message": "slot 3"}`)
	r.Expect(again).To(gomega.Equal(text))
	_, err := r.call(p, "text", "tool", "driver-text", `{"message": "slot 4"}`)
	r.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(string(fault.CodeKeyReused))))
	r.mustCall(p, "m2", "model", "confirm the booking")
	home, ended := r.endProgram(p)
	executions, err := r.bed.Executions(p + "/text")
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(executions).To(gomega.Equal(map[string]int64{"tools": 1}))

	o := r.replayOutcomes(home)
	r.Expect(o.Programs).To(gomega.ContainElement(ended))
	r.Expect(o.Ticket).To(gomega.Equal(uint64(1)))
	r.Expect(o.NonIdempotentDispatches).To(gomega.Equal(map[string]int{p + "/book": 1, p + "/text": 1}))
	r.expectSeenAnswers(o)
}
