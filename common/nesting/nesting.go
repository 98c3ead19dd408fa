// Package nesting bounds the depth and the lengths of msgpack values before they are decoded.
package nesting

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is how deep arrays and maps may be nested. The deepest message, a ticket, has about ten levels.
const MaxDepth = 64

// ErrTooDeep is the result of Check for a value that is nested deeper than MaxDepth.
var ErrTooDeep = errors.Newf("msgpack value is nested deeper than %d levels", MaxDepth)

// ErrTruncated is the result of Check for a value whose lengths exceed the bytes that follow.
var ErrTruncated = errors.New("msgpack value is cut off")

// Check returns ErrTooDeep if the first msgpack value of b is nested too deeply. The decoder recurses for each level: a
// frame of 2 MB took 256 MB of stack, and a segment of 16 MB would exceed the largest stack, which ends the process.
// It returns ErrCutOff for impossible lengths: decoding 29 bytes with a map of 2.5 billion entries into a value of no
// given type did not end within ten minutes, and the process was killed. The decoder finds other errors.
func Check(b []byte) error {
	var left [MaxDepth]uint64 // values that are missing at each level
	depth := 0
	missing := uint64(0) // values that are missing at all levels
	for len(b) > 0 {
		skip, values := elementSize(b)
		if skip > uint64(len(b)) {
			return ErrTruncated
		}
		b = b[skip:]
		if values > 0 {
			if depth == MaxDepth {
				return ErrTooDeep
			}
			// The arrays and maps around this one count as missing until they are complete.
			if missing += values; missing-uint64(depth) > uint64(len(b)) {
				return ErrTruncated
			}
			left[depth] = values
			depth++
			continue
		}
		for depth > 0 {
			left[depth-1]--
			missing--
			if left[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
	return nil
}

// elementSize returns the bytes of the token that b begins with, and how many values follow as its content. A token that is
// cut off is longer than b.
func elementSize(b []byte) (skip, values uint64) {
	c := b[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0
	case msgpcode.IsFixedMap(c):
		return 1, 2 * uint64(c&msgpcode.FixedMapMask)
	case msgpcode.IsFixedArray(c):
		return 1, uint64(c & msgpcode.FixedArrayMask)
	case msgpcode.IsFixedString(c):
		return 1 + uint64(c&msgpcode.FixedStrMask), 0
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 3, 0
	case msgpcode.FixExt2:
		return 4, 0
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0
	case msgpcode.FixExt4:
		return 6, 0
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0
	case msgpcode.FixExt8:
		return 10, 0
	case msgpcode.FixExt16:
		return 18, 0
	case msgpcode.Str8, msgpcode.Bin8:
		return 2 + payloadLength(b, 1), 0
	case msgpcode.Str16, msgpcode.Bin16:
		return 3 + payloadLength(b, 2), 0
	case msgpcode.Str32, msgpcode.Bin32:
		return 5 + payloadLength(b, 4), 0
	case msgpcode.Ext8:
		return 3 + payloadLength(b, 1), 0
	case msgpcode.Ext16:
		return 4 + payloadLength(b, 2), 0
	case msgpcode.Ext32:
		return 6 + payloadLength(b, 4), 0
	case msgpcode.Array16:
		return 3, payloadLength(b, 2)
	case msgpcode.Array32:
		return 5, payloadLength(b, 4)
	case msgpcode.Map16:
		return 3, 2 * payloadLength(b, 2)
	case msgpcode.Map32:
		return 5, 2 * payloadLength(b, 4)
	}
	return 1, 0 // nil, booleans, and the code that the format does not use
}

// payloadLength reads the length of n bytes after the code; if it is cut off, so is the token.
func payloadLength(b []byte, n int) uint64 {
	var v [8]byte
	if len(b) <= n {
		return 0
	}
	copy(v[8-n:], b[1:1+n])
	return binary.BigEndian.Uint64(v[:])
}
