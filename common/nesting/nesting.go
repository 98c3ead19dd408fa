// Package nesting checks the depth and the lengths of msgpack values before they are decoded.
package nesting

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the maximum number of nested arrays and maps. The deepest message, a ticket, has about ten levels.
const MaxDepth = 64

// ErrTooDeep is returned by Check for a value that is nested deeper than MaxDepth.
var ErrTooDeep = errors.Newf("msgpack value is nested deeper than %d levels", MaxDepth)

// ErrTruncated is returned by Check for a value whose lengths exceed the bytes that follow.
var ErrTruncated = errors.New("msgpack value is truncated")

// Check returns ErrTooDeep if the first msgpack value of b is nested too deeply. The decoder recurses at each level: a
// frame of 2 MB took 256 MB of stack, and a segment of 16 MB would exceed the maximum stack size, which ends the
// process. Check returns ErrTruncated for impossible lengths: decoding 29 bytes with a map of 2.5 billion entries into
// an untyped value did not end within ten minutes, and the process was killed. Other errors are left to the decoder.
func Check(b []byte) error {
	var remaining [MaxDepth]uint64 // values that are still to be read at each level
	depth := 0
	totalRemaining := uint64(0) // values that are still to be read at all levels
	for len(b) > 0 {
		size, values := elementSize(b)
		if size > uint64(len(b)) {
			return ErrTruncated
		}
		b = b[size:]
		if values > 0 {
			if depth == MaxDepth {
				return ErrTooDeep
			}
			// The open arrays and maps except the outermost one still count in totalRemaining, although their headers
			// have been read. Every other value needs at least one byte.
			if totalRemaining += values; totalRemaining-uint64(depth) > uint64(len(b)) {
				return ErrTruncated
			}
			remaining[depth] = values
			depth++
			continue
		}
		for depth > 0 {
			remaining[depth-1]--
			totalRemaining--
			if remaining[depth-1] > 0 {
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

// elementSize returns the size in bytes of the first element of b, and the number of values that follow as its content
// if it is the header of an array or map. The size of a truncated element exceeds len(b).
func elementSize(b []byte) (size, values uint64) {
	code := b[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return 1, 0
	case msgpcode.IsFixedMap(code):
		return 1, 2 * uint64(code&msgpcode.FixedMapMask)
	case msgpcode.IsFixedArray(code):
		return 1, uint64(code & msgpcode.FixedArrayMask)
	case msgpcode.IsFixedString(code):
		return 1 + uint64(code&msgpcode.FixedStrMask), 0
	}
	switch code {
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
	return 1, 0 // nil, false, true, and the unused code 0xc1
}

// payloadLength returns the length encoded in the n bytes after the code, or 0 if b is too short for them. elementSize
// then still exceeds len(b), because it includes these n bytes.
func payloadLength(b []byte, n int) uint64 {
	var encoded [8]byte
	if len(b) <= n {
		return 0
	}
	copy(encoded[8-n:], b[1:1+n])
	return binary.BigEndian.Uint64(encoded[:])
}
