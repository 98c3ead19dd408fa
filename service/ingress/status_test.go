package ingress_test

import (
	"fmt"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A response whose status HTTP does not define", func() {
	// Guards against a caller that gets such a response, or the bytes after its header, as an answer.
	for _, path := range []string{"/once/", "/fixed/", "/many/"} {
		for _, status := range []string{"000", "007", "099", "600", "999"} {
			for name, rest := range map[string]func(attempt string) string{
				"a body": func(attempt string) string {
					return fmt.Sprintf("Hyssopreel-Attempt-Id: %s\r\n%s: i-1\r\nContent-Length: 4\r\n\r\nbody", attempt, stampHeader)
				},
				"bytes like another response": func(attempt string) string {
					return "\r\n" + responseHead(attempt, "i-1", "Content-Length: 4\r\n") + "body"
				},
			} {
				It(fmt.Sprintf("is none: %s with %s, at %s", status, name, path), func() {
					server := newRawBackend("i-1", func(c net.Conn, attempt string) {
						_, _ = io.WriteString(c, "HTTP/1.1 "+status+" None\r\n"+rest(attempt))
					})
					a := newConfiguredIngress(server).call("GET", path, "")
					Expect(a.err).NotTo(HaveOccurred())
					Expect(a.status).To(BeElementOf(502, 503, 504))
					Expect(a.header.Get(stampHeader)).To(BeEmpty())
					Expect(a.body).NotTo(ContainSubstring("body"))
				})
			}
		}
	}
})
