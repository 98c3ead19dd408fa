package ingress

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the buffered part of a stream that is not yet a whole event. An event holds a few tokens.
const maxEventBytes = 256 << 10

var errEventTooLarge = errors.Newf("event is larger than %d bytes", maxEventBytes)

// sseParser splits a stream into whole server-sent events, so that it can be resumed after the last one forwarded.
type sseParser struct {
	// buffer holds the bytes after the last whole event.
	buffer []byte
	// lastID is the ID of the last whole event that has one.
	lastID string
	// eventCount counts the whole events that have an ID, and progress those that have an ID or data: comments show only
	// that the connection works.
	eventCount, progress int
}

// parse appends b and returns the events that are now whole, or errEventTooLarge.
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

// partialEvent returns the bytes after the last whole event, valid until the next call of parse.
func (r *sseParser) partialEvent() []byte { return r.buffer }

// discardPartial discards the bytes of an event that was cut off.
func (r *sseParser) discardPartial() { r.buffer = r.buffer[:0] }

// eventEnd returns the length of the first event in b, its empty line included, or 0 if no event is whole.
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

// recordEventID records the ID of an event, if it has one, and whether it is progress.
func (r *sseParser) recordEventID(event []byte) {
	hasID, hasData := false, false
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok && !hasID {
			hasID = true
			r.lastID = string(bytes.TrimSpace(id))
			r.eventCount++
		}
		hasData = hasData || bytes.HasPrefix(line, []byte("data:"))
	}
	if hasID || hasData {
		r.progress++
	}
}

// isLaterEventID reports whether event ID b is later than a. It is true if one of them is not a number.
func isLaterEventID(a, b string) bool {
	x, err1 := strconv.ParseUint(a, 10, 64)
	y, err2 := strconv.ParseUint(b, 10, 64)
	return err1 != nil || err2 != nil || y > x
}
