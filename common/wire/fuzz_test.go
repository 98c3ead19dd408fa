package wire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

// Guards against a malformed frame that makes the reader panic, and a frame that changes when it is encoded again.
func FuzzReadFrame(f *testing.F) {
	for _, body := range []any{
		nil,
		helloBody{Version: protocolVersion, ProcessName: "a-1.7", DialedAddress: "127.0.0.1:7"},
		answerBody{Err: fault.New(fault.CodeMoved, "home", "elsewhere"), Value: msgpack.RawMessage{0xc0}},
		map[string]int{"a": 1},
		[]byte("x"),
	} {
		b, err := encodeFrame(TypeForwardCall, 9, "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0, 0, 4, 0}, bytes.Repeat([]byte{0x91}, 1024)...)) // nested arrays
	f.Fuzz(func(t *testing.T, b []byte) {
		in, err := readFrame(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		_ = in.Type.String()
		_ = extractTrace(t.Context(), in.Trace)
		var h helloBody
		var a answerBody
		_ = msgpack.Unmarshal(in.Body, &h)
		_ = msgpack.Unmarshal(in.Body, &a)
		encoded, err := encodeFrame(in.Type, in.ID, in.Trace, in.Body)
		if err != nil {
			t.Fatalf("encode %+v: %v", in, err)
		}
		out, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil {
			t.Fatalf("read the encoding of %+v: %v", in, err)
		}
		sameBody := bytes.Equal(in.Body, out.Body) || (isNil(in.Body) && isNil(out.Body))
		if in.Type != out.Type || in.ID != out.ID || in.Trace != out.Trace || !sameBody {
			t.Fatalf("read %+v, but after encoding and reading again %+v", in, out)
		}
	})
}
