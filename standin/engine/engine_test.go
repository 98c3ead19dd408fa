package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/engine"
	"github.com/hyssopreel/hyssopreel/standin/weights"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // machines may be busy
	RunSpecs(t, "Engine stand-in")
}

type object = map[string]any

// result is the response of one completion as its caller received it.
type result struct {
	Status                                      int
	NotRun                                      bool
	Text                                        string
	FinishReason                                string
	PromptTokens, GeneratedTokens, CachedTokens int
	Done                                        bool // the stream ended with [DONE]
	Err                                         error
}

type client struct{ url string }

func (c client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, "POST", c.url+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

func (c client) call(path string, body any) (int, string) {
	GinkgoHelper()
	resp, err := c.post(context.Background(), path, body)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(b)
}

func (c client) get(path string, into any) {
	GinkgoHelper()
	resp, err := http.Get(c.url + path)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(json.NewDecoder(resp.Body).Decode(into)).To(Succeed())
}

// complete sends the contents as messages of the program and reads the stream to its end. The fields in extra override
// those of the body.
func (c client) complete(ctx context.Context, program, id string, contents []string, extra object) result {
	body := object{
		"model": "m", "stream": true, "stream_options": object{"include_usage": true},
		"user": program, "request_id": id,
	}
	messages := []object{}
	for _, content := range contents {
		messages = append(messages, object{"role": "user", "content": content})
	}
	body["messages"] = messages
	for k, v := range extra {
		body[k] = v
	}
	resp, err := c.post(ctx, "/v1/chat/completions", body)
	if err != nil {
		return result{Err: err}
	}
	defer resp.Body.Close()
	r := result{Status: resp.StatusCode, NotRun: resp.Header.Get("Request-Not-Run") == "true"}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		r.readLine(lines.Text())
	}
	r.Err = lines.Err()
	return r
}

func (r *result) readLine(line string) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		r.Done = true
		return
	}
	var c struct {
		Choices []struct {
			Delta        struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage *struct {
			PromptTokens     int `json:"prompt_tokens"`
			CompletionTokens int `json:"completion_tokens"`
			Details          struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		}
	}
	if r.Err = json.Unmarshal([]byte(data), &c); r.Err != nil {
		return
	}
	for _, choice := range c.Choices {
		r.Text += choice.Delta.Content
		r.FinishReason += choice.FinishReason
	}
	if c.Usage != nil {
		r.PromptTokens, r.GeneratedTokens, r.CachedTokens = c.Usage.PromptTokens, c.Usage.CompletionTokens, c.Usage.Details.CachedTokens
	}
}

func expectedAnswer(contents ...string) string {
	words, _ := engine.Answer(contents, 0)
	return strings.Join(words, " ")
}

// words returns n words, of which the first is unique to name.
func words(name string, n int) string { return name + strings.Repeat(" w", n-1) }

func ptr(n int) *int { return &n }

var _ = Describe("Engine", func() {
	ctx := context.Background()
	start := func(cfg engine.Config) (*engine.Engine, client) {
		if cfg.StepTime == 0 {
			cfg.StepTime = time.Millisecond
		}
		e := engine.New(cfg)
		s := httptest.NewServer(e)
		DeferCleanup(func() {
			s.CloseClientConnections()
			s.Close()
			e.Close()
		})
		return e, client{s.URL}
	}

	// Guards against answers that differ from docs/external-protocols.md, and against a wrong cached prefix.
	It("answers deterministically and reuses the prefix of the program", func() {
		e, c := start(engine.Config{})
		first := c.complete(ctx, "p", "r1", []string{"one two three"}, nil)
		// 44bc2cf5ad770999 is the published xxhash64 of "abc".
		Expect(expectedAnswer("abc")).To(HavePrefix("44bc2cf5-0 44bc2cf5-1 "))
		Expect(first.Text).To(Equal(expectedAnswer("one two three")))
		Expect(first.Err).NotTo(HaveOccurred())
		Expect([]any{first.FinishReason, first.Done, first.PromptTokens, first.CachedTokens}).To(Equal([]any{"stop", true, 3, 0}))
		Expect(first.GeneratedTokens).To(And(Equal(len(strings.Fields(first.Text))), BeNumerically(">=", 5), BeNumerically("<=", 40)))
		second := c.complete(ctx, "p", "r2", []string{"one two three", first.Text, "four [[tokens=3]]"}, nil)
		Expect([]int{second.GeneratedTokens, second.PromptTokens, second.CachedTokens}).To(Equal([]int{3, 3 + first.GeneratedTokens + 2, 3 + first.GeneratedTokens}))
		other := c.complete(ctx, "q", "r3", []string{"one two three"}, object{"max_tokens": 2})
		Expect([]any{other.GeneratedTokens, other.CachedTokens, other.FinishReason}).To(Equal([]any{2, 0, "length"}))
		counters := e.Counters()
		Expect(counters.AdmissionOrder["p"]).To(Equal([]string{"r1", "r2"}))
		Expect(counters.Executions).To(Equal(map[string]int64{"r1": 1, "r2": 1, "r3": 1}))
		Expect(counters.CachedTokens).To(BeEquivalentTo(second.CachedTokens))
		Expect(counters.CacheUsedTokens["p"]).To(Equal(second.PromptTokens + 3))
	})

	// Guards against words that are lost or sent twice when a stream is resumed on another worker.
	It("closes a stream once and resumes it from the text so far", func() {
		e, c := start(engine.Config{})
		e.SetFaults(engine.Faults{BreakAfterTokens: ptr(4)})
		contents := []string{"hello [[tokens=9]]"}
		broken := c.complete(ctx, "p", "r", contents, nil)
		Expect(broken.Err).To(HaveOccurred())
		Expect(strings.Fields(broken.Text)).To(HaveLen(4))
		_, c2 := start(engine.Config{})
		for _, text := range []string{broken.Text, broken.Text + " "} {
			rest := c2.complete(ctx, "p", "r", contents, object{"resume_text": text})
			Expect(text + rest.Text).To(Equal(expectedAnswer(contents...)))
			Expect(rest.GeneratedTokens).To(Equal(5))
		}
		Expect(c2.complete(ctx, "p", "r", contents, object{"resume_text": "wrong"}).Status).To(Equal(400))
		Expect(c.complete(ctx, "p", "r", contents, nil).Text).To(Equal(expectedAnswer(contents...)))
	})

	// Guards against a stall that closes the stream or continues after the fault is cleared.
	It("stalls streams until the fault is cleared", func() {
		e, c := start(engine.Config{})
		e.SetFaults(engine.Faults{StallAfterTokens: ptr(2)})
		done := make(chan result, 1)
		go func() { done <- c.complete(ctx, "p", "r", []string{"x [[tokens=5]]"}, nil) }()
		Consistently(done, "100ms").ShouldNot(Receive())
		e.SetFaults(engine.Faults{})
		Eventually(done).Should(Receive(HaveField("GeneratedTokens", 5)))
	})

	// Guards against a wait queue that ignores priorities, and against more running requests than MaxRunning.
	It("runs waiting requests by priority, then by arrival", func() {
		e, c := start(engine.Config{MaxRunning: 1})
		results := make(chan result, 4)
		submit := func(id string, priority int, waiting int) {
			go func() {
				results <- c.complete(ctx, "p", id, []string{id + " [[tokens=60]]"}, object{"priority": priority})
			}()
			Eventually(func() int { return e.Counters().Waiting + 10*e.Counters().Running }).Should(Equal(10 + waiting))
		}
		submit("first", 5, 0)
		e.SetFaults(engine.Faults{StepMS: 20})
		submit("low", 9, 1)
		submit("high-1", 1, 2)
		submit("high-2", 1, 3)
		e.SetFaults(engine.Faults{})
		for range 4 {
			Eventually(results).Should(Receive(HaveField("Done", true)))
		}
		Expect(e.Counters().AdmissionOrder["p"]).To(Equal([]string{"first", "high-1", "high-2", "low"}))
		Expect(e.Counters().PeakRunning).To(Equal(1))
	})

	// Guards against a slot that stays occupied after the caller disconnects or cancels its request, and against the
	// loss of the tokens cached until then.
	It("frees the slot of ended requests and keeps their cache", func() {
		e, c := start(engine.Config{MaxRunning: 1})
		callerCtx, cancel := context.WithCancel(ctx)
		go c.complete(callerCtx, "p", "gone", []string{"a b [[tokens=100000]]"}, nil)
		// Wait for the end of the first step: before it, the cache has nothing to keep.
		Eventually(func() int64 { return e.Counters().GeneratedTokens }).Should(BeNumerically(">=", 1))
		Expect(e.Counters().Running).To(Equal(1))
		cancel()
		Eventually(func() int { return e.Counters().Running }).Should(BeZero())
		Expect(e.Counters().CacheUsedTokens["p"]).To(BeNumerically(">=", 3))
		done := make(chan result, 1)
		go func() { done <- c.complete(ctx, "q", "canceled", []string{"a [[tokens=100000]]"}, nil) }()
		Eventually(func() int { return e.Counters().Running }).Should(Equal(1))
		status, _ := c.call("/v1/cancel", object{"request_id": "canceled"})
		Expect(status).To(Equal(204))
		Eventually(done).Should(Receive(And(HaveField("FinishReason", "abort"), HaveField("Done", true))))
		Expect(e.Counters().Aborted).To(BeEquivalentTo(2))
	})

	// Guards against a cache that exceeds its capacity, against the eviction of a program used more recently, and
	// against releases without effect.
	It("evicts the least recently used program and releases on request", func() {
		const lag = 50 * time.Millisecond
		e, c := start(engine.Config{CacheCapacityTokens: 250, CacheEventLag: lag, CacheEventDropEvery: 2})
		oneToken := object{"max_tokens": 1}
		c.complete(ctx, "a", "1", []string{words("a", 99)}, oneToken)
		c.complete(ctx, "b", "2", []string{words("b", 99)}, oneToken)
		c.complete(ctx, "a", "3", []string{words("a", 99)}, oneToken)
		c.complete(ctx, "c", "4", []string{words("c", 99)}, oneToken)
		Expect(e.Counters().CacheUsedTokens).To(Equal(map[string]int{"a": 100, "c": 100}))
		e.SetFaults(engine.Faults{RefuseRelease: true})
		status, _ := c.call("/v1/cache/release", object{"program": "a"})
		Expect(status).To(Equal(500))
		e.SetFaults(engine.Faults{})
		_, body := c.call("/v1/cache/release", object{"program": "a"})
		Expect(body).To(MatchJSON(`{"released_tokens": 100}`))
		Expect(e.Counters().CacheUsedTokens).To(Equal(map[string]int{"c": 100}))

		// Six events: a, b, a stored, b evicted, c stored, a evicted. CacheEventDropEvery loses every second one.
		type events struct {
			Events []struct {
				Seq     uint64
				Program string
				Kind    string
			}
			Next uint64
		}
		var late events
		Eventually(func() uint64 {
			c.get("/v1/cache/events?after=1", &late)
			return late.Next
		}).Should(BeEquivalentTo(5))
		Expect(late.Events).To(HaveLen(2))
		Expect(late.Events[1].Program).To(Equal("c"))
		sentAt := time.Now()
		c.complete(ctx, "d", "5", []string{"d"}, oneToken)
		var early events
		c.get("/v1/cache/events?after=5", &early)
		if time.Since(sentAt) < lag {
			Expect(early.Events).To(BeEmpty())
		}
	})

	// Guards against a batch whose reserved cache exceeds the cache capacity.
	It("keeps requests waiting while the running ones fill the cache", func() {
		e, c := start(engine.Config{CacheCapacityTokens: 250})
		results := make(chan result, 3)
		for _, id := range []string{"a", "b", "c"} {
			go func() { results <- c.complete(ctx, id, id, []string{words(id, 70) + " [[tokens=30]]"}, nil) }()
		}
		for range 3 {
			Eventually(results).Should(Receive(HaveField("GeneratedTokens", 30)))
		}
		Expect(e.Counters().PeakRunning).To(Equal(2))
	})

	// Guards against a cached prompt that is lost or changed by export and import.
	It("exports a cached prompt to another engine", func() {
		_, c := start(engine.Config{})
		e2, c2 := start(engine.Config{})
		c.complete(ctx, "p", "1", []string{words("a", 50)}, object{"max_tokens": 1})
		_, body := c.call("/v1/cache/export", object{"program": "p"})
		var exported object
		Expect(json.Unmarshal([]byte(body), &exported)).To(Succeed())
		status, body := c2.call("/v1/cache/import", object{"program": "p", "reference": exported["reference"]})
		Expect(status).To(Equal(200))
		Expect(body).To(MatchJSON(`{"tokens": 51}`))
		Expect(c2.complete(ctx, "p", "2", []string{words("a", 50), "more"}, nil).CachedTokens).To(Equal(50))
		Expect(e2.Counters().CacheUsedTokens["p"]).To(BeNumerically(">", 51))
	})

	// Guards against load reports that ignore LoadReportLag.
	It("reports the load after the lag", func() {
		_, c := start(engine.Config{LoadReportLag: 500 * time.Millisecond})
		go c.complete(ctx, "p", "r", []string{"a [[tokens=2000]]"}, nil)
		type load struct {
			AgeMS   int64 `json:"age_ms"`
			Running int
		}
		running := func() int {
			var l load
			c.get("/v1/load", &l)
			return l.Running
		}
		Consistently(running, "100ms", "10ms").Should(BeZero())
		Eventually(running).Should(Equal(1))
	})

	// Guards against requests that run while the fault "leaving" is set.
	It("rejects new requests while leaving", func() {
		e, c := start(engine.Config{})
		status, _ := c.call("/control/faults", object{"leaving": true})
		Expect(status).To(Equal(200))
		refused := c.complete(ctx, "p", "r", []string{"x"}, nil)
		Expect([]any{refused.Status, refused.NotRun}).To(Equal([]any{503, true}))
		Expect(e.Counters().RequestsWhileLeaving).To(BeEquivalentTo(1))
		Expect(e.Counters().Executions).To(BeEmpty())
	})

	// Guards against an engine with ChecksFencing that accepts an order with an old fencing token, and against requests
	// that run while the engine loads.
	It("checks fencing tokens and loads through the weight store", func() {
		store := weights.New(weights.Config{TransferTime: 150 * time.Millisecond})
		s := httptest.NewServer(store)
		DeferCleanup(s.Close)
		e, c := start(engine.Config{ChecksFencing: true, WeightStoreURL: s.URL})
		c.complete(ctx, "p", "1", []string{"x"}, nil)
		status, _ := c.call("/v1/orders", object{"fence": 4, "holder": "b", "kind": "load_model", "model": "m", "version": "2"})
		Expect(status).To(Equal(202))
		refused := c.complete(ctx, "p", "2", []string{"x"}, nil)
		Expect([]any{refused.Status, refused.NotRun}).To(Equal([]any{503, true}))
		status, body := c.call("/v1/orders", object{"fence": 3, "holder": "a", "kind": "set_role", "role": "decode"})
		Expect(status).To(Equal(409))
		Expect(body).To(MatchJSON(`{"fence": 4}`))
		c.call("/v1/orders", object{"fence": 4, "holder": "b", "kind": "load_adapter", "adapter": "x", "version": "1"})
		state := object{}
		Eventually(func() any {
			c.get("/v1/orders/state", &state)
			return state["loading"]
		}).Should(BeFalse())
		Expect(state).To(Equal(object{
			"model": "m", "version": "2", "adapters": []any{"x"}, "role": "", "loading": false, "fence": 4.0,
		}))
		Expect(store.Counters().Fetches).To(Equal(map[string]int64{"m@2": 1, "x@1": 1}))
		Expect(e.Counters().Orders).To(HaveLen(3))
		Expect(e.Counters().CacheUsedTokens).To(BeEmpty())
	})

	// Guards against an engine that rejects old fencing tokens without ChecksFencing.
	It("ignores fencing tokens without ChecksFencing", func() {
		_, c := start(engine.Config{})
		for _, fence := range []int{4, 3} {
			status, _ := c.call("/v1/orders", object{"fence": fence, "kind": "set_role", "role": "decode"})
			Expect(status).To(Equal(202))
		}
	})

	// Guards against prefill without its simulated time, and against such time for a cached prompt.
	It("takes time for uncached prompt tokens only", func() {
		_, c := start(engine.Config{PrefillPerToken: 200 * time.Microsecond})
		elapsed := func() time.Duration {
			begin := time.Now()
			c.complete(ctx, "p", "r", []string{words("a", 1000)}, object{"max_tokens": 1})
			return time.Since(begin)
		}
		Expect(elapsed()).To(BeNumerically(">=", 200*time.Millisecond))
		Expect(elapsed()).To(BeNumerically("<", 200*time.Millisecond))
	})
})
