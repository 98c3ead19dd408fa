package ingress_test

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

func (r *runningHost) get(path string) string {
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

func (r *runningHost) explainPlacement(query string) (view api.PlacementView) {
	_ = json.Unmarshal([]byte(r.get("/v1/placement?"+query)), &view)
	return view
}

var _ = Describe("Hosts of a failure domain without servers", func() {
	// Guards against requests and bytes between failure domains that no metric shows, and against hosts that do not count
	// what the others of their domain have sent abroad.
	It("send their requests to another domain, count them, and see each other's", func() {
		store := objects.New()
		putConfig(store, 1)
		release := make(chan struct{})
		finish := sync.OnceFunc(func() { close(release) })
		defer finish()
		b := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, _ int) {
			if r.Header.Get("Hyssopreel-Attempt-Id") == "held" {
				<-release
			}
			_, _ = io.WriteString(w, "answer")
		})
		store.Put(platform.KindServers, b.id, map[string]any{"service": "s", "address": b.address, "zone": "b", "slots": 16, "state": "ready"})
		hosts := startHosts(store, "a-1", "a-2")
		held := make(chan int, 1)
		go func() { held <- hosts[1].call("GET", "/v1/", "", "Hyssopreel-Attempt-Id", "held").status }()
		fromHome := func() float64 {
			Expect(hosts[0].call("GET", "/v1/", "").status).To(Equal(200))
			for _, d := range hosts[0].explainPlacement("service=s").Domains {
				if d.Name == "b" {
					return d.FromHome
				}
			}
			return 0
		}
		Eventually(fromHome, "5s").Should(BeNumerically(">", 0.8))
		finish()
		Eventually(held, "5s").Should(Receive(Equal(200)))

		view := hosts[0].explainPlacement("service=s&body_bytes=1024")
		Expect(view.Choice).To(Equal(api.PlacementChoice{Server: "i-1", Reason: "no_server"}))
		Expect(view.Candidates).To(HaveLen(1))
		Expect(hosts[0].get("/v1/placement?service=s&body_bytes=x")).To(ContainSubstring("not a number"))
		Eventually(func() string { return hosts[0].get("/metrics") }, "5s").Should(And(
			MatchRegexp(`(?m)^hyssopreel_domain_requests{.*reason="no_server".*to_domain="b".*} [1-9]`),
			MatchRegexp(`(?m)^hyssopreel_domain_response_bytes{.*to_domain="b".*} [1-9]`),
		))
	})
})
