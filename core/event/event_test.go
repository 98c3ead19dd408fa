package event_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// Guards against events that differ after they are written to the log and read again.
func TestEncodeDecode(t *testing.T) {
	g := gomega.NewWithT(t)
	in := event.Envelope{At: 7, Event: sched.Enqueued{Group: "reel-lm/0", Call: sched.CallID{Program: "a.1-2", Key: "k"}}}
	b, err := event.Encode(in)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out, err := event.Decode(b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.Equal(in))
}
