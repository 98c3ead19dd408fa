package tool_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/tool"
)

func TestTool(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // machines may be busy
	RunSpecs(t, "Tool stand-in")
}

var _ = Describe("Tool", func() {
	var (
		t      *tool.Tool
		url    string
		client *http.Client
	)
	BeforeEach(func() {
		t = tool.New()
		s := httptest.NewServer(t)
		DeferCleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		url = s.URL
		// net/http retries a request with an Idempotency-Key if its reused connection is closed; the retry would be
		// counted, too.
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	})
	call := func(key, args string) (*http.Response, string, error) {
		req, err := http.NewRequest("POST", url+"/v1/tools/payout", strings.NewReader(args))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", key)
		resp, err := client.Do(req)
		if err != nil {
			return nil, "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return resp, string(b), err
	}

	// Guards against a stand-in that does not count duplicate executions.
	It("counts every execution of a key", func() {
		for range 2 {
			_, _, err := call("p-1/k", `{"amount": 3}`)
			Expect(err).NotTo(HaveOccurred())
		}
		_, body, err := call("p-1/k", `{"amount": 3}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(MatchJSON(`{"tool": "payout", "key": "p-1/k", "execution": 3, "body": {"amount": 3}}`))
		Expect(t.Counters().Executions).To(Equal(map[string]int64{"p-1/k": 3}))
	})

	// Guards against directives whose requests are counted as executed but are not, or the reverse.
	It("applies the directives", func() {
		resp, _, err := call("before", `{"fail": "before"}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Request-Not-Run")).To(Equal("true"))
		_, _, err = call("after", `{"fail": "after"}`)
		Expect(err).To(HaveOccurred())
		start := time.Now()
		_, _, err = call("sleep", `{"sleep_ms": 60}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically(">=", 60*time.Millisecond))
		client.Timeout = 50 * time.Millisecond
		_, _, err = call("hang", `{"hang": true}`)
		Expect(err).To(HaveOccurred())
		Expect(t.Counters().Executions).To(Equal(map[string]int64{"after": 1, "sleep": 1, "hang": 1}))
	})

	// Guards against a request that is executed although its connection was closed before, and against a break point
	// that applies more than once.
	It("closes connections at the set point", func() {
		setBreak := func(point string) int {
			resp, err := client.Post(url+"/control/faults", "", strings.NewReader(`{"break": "`+point+`"}`))
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			return resp.StatusCode
		}
		Expect(setBreak("after_walk")).To(Equal(400))
		for _, point := range []string{"before_read", "after_read", "after_run"} {
			Expect(setBreak(point)).To(Equal(200))
			_, _, err := call(point, `{}`)
			Expect(err).To(HaveOccurred(), point)
		}
		_, _, err := call("later", `{}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Counters().Executions).To(Equal(map[string]int64{"after_run": 1, "later": 1}))
		Expect(t.Counters().Requests).To(BeEquivalentTo(4))
	})

	// Guards against requests that are executed while the fault "leaving" is set.
	It("rejects requests while leaving", func() {
		t.SetFaults(tool.Faults{Leaving: true})
		resp, _, err := call("k", `{}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get("Request-Not-Run")).To(Equal("true"))
		Expect(t.Counters().RequestsWhileLeaving).To(BeEquivalentTo(1))
		Expect(t.Counters().Executions).To(BeEmpty())
	})
})
