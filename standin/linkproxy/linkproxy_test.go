package linkproxy_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/linkproxy"
)

func TestLinkProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // machines may be busy
	RunSpecs(t, "Link proxy")
}

var _ = Describe("Proxy", func() {
	var p *linkproxy.Proxy
	BeforeEach(func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Close)
		go func() {
			for {
				c, err := echo.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					_, _ = io.Copy(c, c)
				}()
			}
		}()
		p, err = linkproxy.Listen("127.0.0.1:0", echo.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
	})
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", p.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { c.Close() })
		return c
	}
	checkEcho := func(c net.Conn) error {
		if _, err := c.Write([]byte("ping")); err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := io.ReadFull(c, make([]byte, 4))
		return err
	}

	// Guards against a cut that leaves connections open or accepts new ones.
	It("cuts and restores", func() {
		c := dial()
		Expect(checkEcho(c)).To(Succeed())
		p.Cut()
		Eventually(func() error { return checkEcho(c) }).ShouldNot(Or(Succeed(), MatchError(os.ErrDeadlineExceeded)))
		_, err := net.Dial("tcp", p.Addr())
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Expect(p.Restore()).To(Succeed())
		Expect(checkEcho(dial())).To(Succeed())
	})

	// Guards against a silent connection that is closed or delivers bytes, and against new connections that are silent.
	It("silences open connections only", func() {
		c := dial()
		Expect(checkEcho(c)).To(Succeed())
		p.Silence()
		Expect(checkEcho(c)).To(MatchError(os.ErrDeadlineExceeded))
		Expect(checkEcho(dial())).To(Succeed())
		Expect(p.Restore()).To(Succeed())
		Expect(checkEcho(c)).To(MatchError(os.ErrDeadlineExceeded))
		Expect(p.State().SilentConnections).To(Equal(1))
	})

	// Guards against a relay that drops the response when the caller has closed its side for writing.
	It("relays the close of one direction", func() {
		c := dial()
		_, err := c.Write([]byte("last"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(io.ReadAll(c)).To(BeEquivalentTo("last"))
		Eventually(func() int { return p.State().Connections }).Should(BeZero())
	})
})
