package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/objects"
)

var _ = Describe("A host that is stopped as planned", func() {
	const head = "POST /v1/ HTTP/1.1\r\nHost: h\r\nHyssopreel-Attempt-Id: late\r\nHyssopreel-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\n"

	// Guards against requests, also ones that may not be repeated, that come late in the grace period, are passed on and cut
	// off at its end. Each connection is open before the stop; early is sent then, and late once no others are accepted.
	DescribeTable("refuses a request that it could not answer any more",
		func(early, late string, closes bool) {
			store := objects.New()
			putConfig(store, 1)
			server := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, n int) {
				_, _ = io.Copy(io.Discard, r.Body)
				select {
				case <-time.After(time.Second): // longer than the rest of the grace period
				case <-r.Context().Done():
				}
				_, _ = fmt.Fprint(w, "done")
			})
			putServer(store, server, "ready")
			host := startHost(store, "a-1")
			Eventually(host.ready, "5s").Should(BeTrue())
			conn, err := net.Dial("tcp", host.address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = io.WriteString(conn, early)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond) // the host has accepted the connection
			host.stop()
			Eventually(func() error {
				c, err := net.DialTimeout("tcp", host.address, 100*time.Millisecond)
				if err == nil {
					_ = c.Close()
				}
				return err
			}, "3s", "10ms").Should(HaveOccurred())
			_, _ = io.WriteString(conn, late) // fails if the connection is closed
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(server.requests()).To(BeEmpty(), "it must not be passed on")
			if closes {
				Expect(err).To(HaveOccurred())
				return
			}
			Expect(err).NotTo(HaveOccurred(), "the request was cut off")
			Expect(response.StatusCode).To(Equal(503))
			Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		},
		Entry("that comes late: its connection is closed before", "", head+"body", true),
		Entry("whose header comes late: its connection is closed before", head[:20], head[20:]+"body", true),
		Entry("whose body comes late", head+"bo", "dy", false),
	)

	// Guards against a request that is cut off, although its host knew when it would end.
	It("answers the requests that are still running at its end", func() {
		store := objects.New()
		putConfig(store, 1)
		server := newBackend("i-1", func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
		putServer(store, server, "ready")
		host := startHost(store, "a-1")
		Eventually(host.ready, "5s").Should(BeTrue())
		host.stop()
		Eventually(host.ready, "1s", "5ms").Should(BeFalse())
		a := host.call("POST", "/v1/", "body", "Hyssopreel-Deadline-Ms", "5000")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(504))
	})
})
