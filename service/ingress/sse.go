package ingress

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.Newf("event is larger than %d bytes", maxEventBytes)

// sseParser cuts a byte stream into whole events. A broken stream can then be continued by another server after
// the last event that was passed on.
type sseParser struct {
	buffer []byte
	// lastID is the ID of the last whole event.
	lastID string
	// eventCount counts the whole events.
	eventCount int
}

// parse appends bytes and returns the whole events that are there now. The result is valid until the next call.
func (r *sseParser) parse(b []byte) ([]byte, error) {
	r.buffer = append(r.buffer, b...)
	end := 0
	for {
		n := eventEnd(r.buffer[end:])
		if n == 0 {
			break
		}
		r.recordEventID(r.buffer[end : end+n])
		end += n
	}
	whole := bytes.Clone(r.buffer[:end])
	r.buffer = append(r.buffer[:0], r.buffer[end:]...)
	if len(r.buffer) > maxEventBytes {
		return whole, errEventTooLarge
	}
	return whole, nil
}

// partialEvent returns the bytes after the last whole event.
func (r *sseParser) partialEvent() []byte { return r.buffer }

// discardPartial drops the bytes of an event that was cut off.
func (r *sseParser) discardPartial() { r.buffer = r.buffer[:0] }

// eventEnd returns the length of the first event in b with its empty line, or 0.
func eventEnd(b []byte) int {
	for i := 0; i < len(b); {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[i:i+n], []byte("\r"))
		i += n + 1
		if len(line) == 0 {
			return i
		}
	}
	return 0
}

// recordEventID reads the ID of an event; events without one, such as comments, are not counted.
func (r *sseParser) recordEventID(event []byte) {
	for line := range bytes.Lines(event) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		r.lastID = string(bytes.TrimSpace(v))
		r.eventCount++
		return
	}
}

// isLaterEventID reports whether the event ID b comes after a; IDs that are not numbers always do.
func isLaterEventID(a, b string) bool {
	x, err1 := strconv.ParseUint(a, 10, 64)
	y, err2 := strconv.ParseUint(b, 10, 64)
	return err1 != nil || err2 != nil || y > x
}
