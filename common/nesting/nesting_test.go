package nesting

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// nest returns inner within the given number of nested arrays.
func nest(levels int, inner any) any {
	for range levels {
		inner = []any{1, inner, "x"}
	}
	return inner
}

// Guards against a message whose nesting exhausts the stack, and against a valid message that is rejected because the
// size of one of its elements was determined wrongly.
func TestCheck(t *testing.T) {
	flat := map[string]any{
		"text": strings.Repeat("\x91", 70), "long": strings.Repeat("\x91", 70_000), "bytes": bytes.Repeat([]byte{0x91}, 300), "more": bytes.Repeat([]byte{0x91}, 70_000),
		"numbers": []any{int8(-100), int16(-1000), int32(-100_000), int64(-1 << 40), uint8(200), uint16(60_000), uint32(1 << 31), uint64(1 << 63), float32(1), 1.5, nil, true},
		"list":    make([]int, 70_000), "time": time.Now(),
	}
	for _, c := range []struct {
		levels int
		inner  any
		err    error
	}{{0, 1, nil}, {0, flat, nil}, {MaxDepth - 2, flat, nil}, {MaxDepth, 1, nil}, {MaxDepth + 1, 1, ErrTooDeep}, {MaxDepth - 1, flat, ErrTooDeep}} {
		b, err := msgpack.Marshal(nest(c.levels, c.inner))
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(b); !errors.Is(err, c.err) {
			t.Errorf("%d levels around %T: got error %v, want %v", c.levels, c.inner, err, c.err)
		}
	}
	for _, b := range [][]byte{{0xdf, 0xff, 0xff, 0xff, 0xff, 1}, {0xdd, 0, 0, 0, 3, 1, 2}, {0x92, 0x92, 1, 1}} {
		if err := Check(b); !errors.Is(err, ErrTruncated) {
			t.Errorf("%x: got error %v, want ErrTruncated", b, err)
		}
	}
	if err := Check(bytes.Repeat([]byte{0x91}, 1<<21)); !errors.Is(err, ErrTooDeep) {
		t.Error(err)
	}
}

// Guards against a check that panics, or accepts a value that is nested too deeply once decoded.
func FuzzCheck(f *testing.F) {
	for levels := range 4 {
		b, err := msgpack.Marshal(nest(levels*25, map[string]any{"a": []byte("b"), "c": 1.5}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if Check(b) != nil {
			return
		}
		var v any
		if msgpack.Unmarshal(b, &v) != nil {
			return
		}
		if depth(v) > MaxDepth {
			t.Fatalf("Check accepted a value of depth %d, which exceeds %d", depth(v), MaxDepth)
		}
	})
}

func depth(v any) int {
	deepest := 0
	switch v := v.(type) {
	case []any:
		for _, element := range v {
			deepest = max(deepest, depth(element))
		}
	case map[string]any:
		for _, element := range v {
			deepest = max(deepest, depth(element))
		}
	default:
		return 0
	}
	return deepest + 1
}
