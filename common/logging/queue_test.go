package logging_test

import (
	"bytes"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

// output can be blocked; it is safe for concurrent use.
type output struct {
	mu      sync.Mutex
	b       bytes.Buffer
	blocked sync.Mutex
}

func (o *output) Write(p []byte) (int, error) {
	o.blocked.Lock()
	defer o.blocked.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) lines() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.b.Bytes(), []byte("\n"))
}

var _ = Describe("Queue", func() {
	// Guards against requests that wait for a full pipe.
	It("does not block its writers while the output does, and drops what is too much", func() {
		o := &output{}
		o.blocked.Lock()
		q := logging.NewQueue(o)
		for range 20_000 {
			_, err := q.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		o.blocked.Unlock()
		Expect(q.Close()).To(Succeed())
		Expect(o.lines()).To(And(BeNumerically(">=", 1000), BeNumerically("<=", 5000)))
	})

	It("writes all lines that wait before it ends", func() {
		o := &output{}
		q := logging.NewQueue(o)
		for range 500 {
			_, _ = q.Write([]byte("line\n"))
		}
		Expect(q.Close()).To(Succeed())
		Expect(o.lines()).To(Equal(500))
	})
})
