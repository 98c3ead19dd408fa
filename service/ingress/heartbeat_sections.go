package ingress

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

// maxHeartbeatSections bounds the sections in one heartbeat.
const maxHeartbeatSections = 16

// HeartbeatSection is a part of the heartbeats that belongs to another component.
type HeartbeatSection interface {
	// Name identifies the section. Hosts ignore sections that they do not know.
	Name() string
	// MaxBytes bounds the encoded section. It must not grow with the number of hosts.
	MaxBytes() int
	// Encode returns the section of this host's next heartbeat, or nil to leave it out.
	Encode() []byte
	// Merge applies the section of another host's heartbeat. The error is logged.
	Merge(from HeartbeatOrigin, section []byte) error
}

// HeartbeatOrigin says where a heartbeat comes from.
type HeartbeatOrigin struct {
	Host, Incarnation string
	// RequestedAt is when this host sent the heartbeat that was answered, by clock.SinceBoot: the answer was made later. It
	// is 0 if the heartbeat is no answer, so that its age is not known.
	RequestedAt time.Duration
}

// encodeSections returns the sections of this host's next heartbeat.
func (b *heartbeater) encodeSections() map[string][]byte {
	var out map[string][]byte
	for _, section := range b.sections {
		encoded := section.Encode()
		if encoded == nil {
			continue
		}
		if len(encoded) > section.MaxBytes() {
			logging.Emit(logging.HeartbeatSectionRejected, logging.Fields{
				"section": section.Name(), "from": b.self.Name, "error": errors.Newf("%d bytes of at most %d", len(encoded), section.MaxBytes()),
			})
			continue
		}
		if out == nil {
			out = make(map[string][]byte, len(b.sections))
		}
		out[section.Name()] = encoded
	}
	return out
}

// mergeSections applies the sections of another host's heartbeat. requestedAt is 0 unless it is an answer.
func (b *heartbeater) mergeSections(message heartbeat, requestedAt time.Duration) {
	origin := HeartbeatOrigin{Host: message.Host, Incarnation: message.Incarnation, RequestedAt: requestedAt}
	for _, section := range b.sections {
		encoded, ok := message.Sections[section.Name()]
		if !ok {
			continue
		}
		err := errors.Newf("%d bytes of at most %d", len(encoded), section.MaxBytes())
		if len(encoded) <= section.MaxBytes() {
			err = section.Merge(origin, encoded)
		}
		if err != nil {
			logging.Emit(logging.HeartbeatSectionRejected, logging.Fields{"section": section.Name(), "from": message.Host, "error": err})
		}
	}
}
