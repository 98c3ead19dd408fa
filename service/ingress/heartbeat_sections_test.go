package ingress

import (
	"errors"
	"testing"
	"time"
)

// recordingSection records what is merged.
type recordingSection struct {
	encoded []byte
	merged  []HeartbeatOrigin
	err     error
}

func (s *recordingSection) Name() string   { return "s" }
func (s *recordingSection) MaxBytes() int  { return 4 }
func (s *recordingSection) Encode() []byte { return s.encoded }
func (s *recordingSection) Merge(from HeartbeatOrigin, _ []byte) error {
	s.merged = append(s.merged, from)
	return s.err
}

// Guards against a section that grows without bound, and against one that hides the others of a heartbeat.
func TestHeartbeatSectionsAreBounded(t *testing.T) {
	large, small := &recordingSection{encoded: []byte("12345")}, &recordingSection{encoded: []byte("1"), err: errors.New("bad")}
	b := &heartbeater{sections: []HeartbeatSection{large}}
	if got := b.encodeSections(); len(got) != 0 {
		t.Errorf("encoded a section of 5 bytes: %v", got)
	}
	b.sections = []HeartbeatSection{small}
	if got := b.encodeSections(); string(got["s"]) != "1" {
		t.Errorf("encoded %v", got)
	}
	message := heartbeat{Host: "a-1", Incarnation: "1", Sections: map[string][]byte{"s": []byte("12345"), "other": []byte("x")}}
	b.mergeSections(message, 0)
	if len(small.merged) != 0 {
		t.Error("merged a section of 5 bytes")
	}
	message.Sections["s"] = []byte("1")
	b.mergeSections(message, time.Second)
	if len(small.merged) != 1 || small.merged[0] != (HeartbeatOrigin{Host: "a-1", Incarnation: "1", RequestedAt: time.Second}) {
		t.Errorf("merged %v", small.merged)
	}
}
