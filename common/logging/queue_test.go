package logging_test

import (
	"bytes"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

// blockableOutput is an output whose writes block while writeMu is locked. It is safe for concurrent use.
type blockableOutput struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	writeMu sync.Mutex
}

func (o *blockableOutput) Write(p []byte) (int, error) {
	o.writeMu.Lock()
	defer o.writeMu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *blockableOutput) lines() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.buf.Bytes(), []byte("\n"))
}

var _ = Describe("AsyncWriter", func() {
	// Guards against requests that block because the pipe of the log output is full.
	It("does not block while the output blocks, and drops lines above its bounds", func() {
		o := &blockableOutput{}
		o.writeMu.Lock()
		q := logging.NewAsyncWriter(o)
		for range 20_000 {
			_, err := q.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		o.writeMu.Unlock()
		Expect(q.Close()).To(Succeed())
		Expect(o.lines()).To(And(BeNumerically(">=", 1000), BeNumerically("<=", 5000)))
	})

	It("writes all queued lines before Close returns", func() {
		o := &blockableOutput{}
		q := logging.NewAsyncWriter(o)
		for range 500 {
			_, _ = q.Write([]byte("line\n"))
		}
		Expect(q.Close()).To(Succeed())
		Expect(o.lines()).To(Equal(500))
	})
})
