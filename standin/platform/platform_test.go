package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // machines may be busy
	RunSpecs(t, "Platform stand-in")
}

// client sends X-Client: host-a. It reuses no connections, because net/http retries a request whose reused connection
// is closed.
type client struct {
	url  string
	http *http.Client
}

func newClient(p http.Handler) *client {
	s := httptest.NewServer(p)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return &client{s.URL, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *client) call(method, path, body string, header ...string) (int, string, string, error) {
	req, err := http.NewRequest(method, c.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Client", "host-a")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header.Get("ETag"), err
}

func (c *client) status(method, path, body string, header ...string) int {
	GinkgoHelper()
	status, _, _, err := c.call(method, path, body, header...)
	Expect(err).NotTo(HaveOccurred())
	return status
}

func (c *client) create(path, body string) int {
	GinkgoHelper()
	return c.status("PUT", path, body, "If-None-Match", "*")
}

var _ = Describe("Platform", func() {
	var (
		p *platform.Platform
		c *client
	)
	BeforeEach(func() {
		p = platform.New(platform.Config{})
		c = newClient(p)
	})

	// Guards against two writers that both succeed on the same version.
	It("accepts one of two conditional writes", func() {
		status, _, first, err := c.call("PUT", "/v1/objects/journal/a.1%2F1", "x", "If-None-Match", "*")
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{status, first}).To(Equal([]any{200, `"1"`}))
		status, _, current, _ := c.call("PUT", "/v1/objects/journal/a.1%2F1", "y", "If-None-Match", "*")
		Expect([]any{status, current}).To(Equal([]any{412, `"1"`}))
		Expect(c.status("PUT", "/v1/objects/journal/a.1%2F1", "y", "If-Match", first)).To(Equal(200))
		Expect(c.status("PUT", "/v1/objects/journal/a.1%2F1", "z", "If-Match", first)).To(Equal(412))
		_, body, etag, _ := c.call("GET", "/v1/objects/journal/a.1%2F1", "")
		Expect([]string{body, etag}).To(Equal([]string{"y", `"2"`}))
		Expect(c.status("DELETE", "/v1/objects/journal/a.1%2F1", "", "If-Match", first)).To(Equal(412))
		Expect(c.status("DELETE", "/v1/objects/journal/a.1%2F1", "")).To(Equal(204))
		Expect(c.status("GET", "/v1/objects/journal/a.1%2F1", "")).To(Equal(404))
		Expect(c.status("PUT", "/v1/objects/journal/a.1%2F1", "z", "If-Match", first)).To(Equal(412))
		Expect(p.Counters().Conflicts).To(BeEquivalentTo(4))
		Expect(p.Counters().ByClient["host-a"].Writes).To(BeEquivalentTo(7))
	})

	// Guards against a size limit that differs from the documented one.
	It("rejects values above 1 MB", func() {
		Expect(c.create("/v1/objects/journal/big", strings.Repeat("x", 1<<20))).To(Equal(200))
		Expect(c.create("/v1/objects/journal/bigger", strings.Repeat("x", 1<<20+1))).To(Equal(413))
	})

	// Guards against lists out of order or with objects outside of the prefix.
	It("lists by prefix in name order", func() {
		for _, name := range []string{"a%2F2", "a%2F10", "b%2F1", "a%2F1"} {
			Expect(c.create("/v1/objects/journal/"+name, name)).To(Equal(200))
		}
		_, body, _, _ := c.call("GET", "/v1/objects/journal?prefix=a%2F", "")
		Expect(body).To(MatchJSON(`{"revision": 4, "objects": [
			{"name": "a/1", "version": 4, "value": "YSUyRjE="},
			{"name": "a/10", "version": 2, "value": "YSUyRjEw"},
			{"name": "a/2", "version": 1, "value": "YSUyRjI="}]}`))
	})

	// Guards against a watch that misses a change or a deletion, or that returns at a change outside of its prefix.
	It("ends a watch at the next change of the prefix", func() {
		Expect(c.create("/v1/objects/members/a", "1")).To(Equal(200))
		answers := make(chan string, 1)
		go func() {
			_, body, _, _ := c.call("GET", "/v1/watch/members?prefix=a&after=1&wait_ms=10000", "")
			answers <- body
		}()
		Eventually(func() int64 { return p.Counters().WaitingWatches }).Should(BeEquivalentTo(1))
		Expect(c.create("/v1/objects/members/b", "1")).To(Equal(200))
		Consistently(answers, "50ms").ShouldNot(Receive())
		Expect(c.status("DELETE", "/v1/objects/members/a", "")).To(Equal(204))
		var body string
		Eventually(answers).Should(Receive(&body))
		Expect(body).To(MatchJSON(`{"revision": 3, "changes": [{"name": "a", "version": 3, "value": null, "deleted": true}]}`))
		_, body, _, _ = c.call("GET", "/v1/watch/members?after=3&wait_ms=10", "")
		Expect(body).To(MatchJSON(`{"revision": 3, "changes": []}`))
	})

	// Guards against a lost response whose write did not take effect, and against one of another kind.
	It("loses responses to writes of one kind", func() {
		Expect(c.status("POST", "/control/faults", `{"lose_answers": 1, "lose_kind": "journal"}`)).To(Equal(200))
		Expect(c.create("/v1/objects/leases/a", "x")).To(Equal(200))
		_, _, _, err := c.call("PUT", "/v1/objects/journal/a", "x", "If-None-Match", "*")
		Expect(err).To(HaveOccurred())
		Expect(c.status("GET", "/v1/objects/journal/a", "")).To(Equal(200))
		Expect(c.create("/v1/objects/journal/b", "x")).To(Equal(200))
	})

	// Guards against faults that admit calls, and against faults that block the control calls that clear them.
	It("rejects calls in an outage, hangs and denies clients", func() {
		p.SetFaults(platform.Faults{Outage: true})
		Expect(c.create("/v1/objects/leases/a", "x")).To(Equal(503))
		p.SetFaults(platform.Faults{DenyClients: []string{"host-a"}})
		_, _, _, err := c.call("GET", "/v1/backends", "")
		Expect(err).To(HaveOccurred())
		Expect(c.status("GET", "/v1/backends", "", "X-Client", "host-b")).To(Equal(200))
		p.SetFaults(platform.Faults{Hang: true})
		c.http.Timeout = 50 * time.Millisecond
		_, _, _, err = c.call("PUT", "/v1/objects/leases/gone", "x", "If-None-Match", "*")
		Expect(err).To(HaveOccurred())
		c.http.Timeout = 0
		done := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			done <- c.create("/v1/objects/leases/a", "x")
		}()
		Consistently(done, "50ms").ShouldNot(Receive())
		Expect(c.status("POST", "/control/faults", `{"hang": false}`)).To(Equal(200))
		Eventually(done).Should(Receive(Equal(200)))
		Expect(c.status("GET", "/v1/objects/leases/gone", "")).To(Equal(404))
		Expect(c.status("POST", "/control/faults", `{"outtage": true}`)).To(Equal(400))
	})

	// Guards against a watch that keeps waiting in an outage.
	It("ends waiting watches in an outage", func() {
		done := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			done <- c.status("GET", "/v1/watch/members?after=0&wait_ms=10000", "")
		}()
		Eventually(func() int64 { return p.Counters().WaitingWatches }).Should(BeEquivalentTo(1))
		p.SetFaults(platform.Faults{Outage: true})
		Eventually(done).Should(Receive(Equal(503)))
	})

	// Guards against a waiting watch that still delivers changes to a denied client.
	It("closes waiting watches of a denied client", func() {
		done := make(chan error, 1)
		go func() {
			_, _, _, err := c.call("GET", "/v1/watch/members?after=0&wait_ms=10000", "")
			done <- err
		}()
		Eventually(func() int64 { return p.Counters().WaitingWatches }).Should(BeEquivalentTo(1))
		p.SetFaults(platform.Faults{DenyClients: []string{"host-a"}})
		Eventually(done).Should(Receive(HaveOccurred()))
	})

	// Guards against a write above the rate limit that takes effect.
	It("limits writes and not reads", func() {
		limited := newClient(platform.New(platform.Config{WritesPerSecond: 0.1}))
		Expect(limited.create("/v1/objects/leases/a", "x")).To(Equal(200))
		Expect(limited.create("/v1/objects/leases/b", "x")).To(Equal(429))
		Expect(limited.status("GET", "/v1/objects/leases/b", "")).To(Equal(404))
	})

	// Guards against a change of the list that is visible before the lag.
	It("shows the list of backend servers after the lag", func() {
		list := `{"backends": [{"name": "w1", "pool": "reel-lm", "kind": "engine", "address": "127.0.0.1:1",
			"failure_domain": "almaty-a", "state": "live", "checks_fencing": true}], "lag_ms": 500}`
		Expect(c.status("PUT", "/control/backends", list)).To(Equal(204))
		listBackends := func() []any {
			_, body, _, _ := c.call("GET", "/v1/backends", "")
			var response struct {
				Backends []any `json:"backends"`
			}
			Expect(json.Unmarshal([]byte(body), &response)).To(Succeed())
			return response.Backends
		}
		Expect(listBackends()).To(BeEmpty())
		Eventually(listBackends).Should(HaveLen(1))
	})
})
