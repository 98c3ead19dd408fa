package home

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// Guards against a damaged journal that crashes the successor's process, and against records that a takeover changes.
// The input is a stored (compressed) segment or, with plain, an uncompressed one.
func FuzzDecodeSegment(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []segment{
		{Journal: "a-1.7", WriteID: 1},
		{Journal: "a-1.7", WriteID: 2, Records: []program.Record{{Op: program.OpSeal, Successor: "b-1.2"}}},
		{Journal: "a-1.7", WriteID: 3, Records: []program.Record{
			{Op: program.OpOpened, Program: "a-1.7-1", Header: &program.Header{Team: "t", Agent: "judge", BudgetTokens: 100}},
			{Op: program.OpIntent, Program: "a-1.7-1", Key: "pay", Hash: 5, Call: &api.Call{Key: "pay", Kind: api.CallTool, Tool: &api.ToolCall{Name: "payout"}}},
			{Op: program.OpTurn, Program: "a-1.7-1", Key: "pay", Turn: &api.Turn{Seq: 1, Key: "pay"}, StatusCode: 200, Tokens: 20},
			{Op: program.OpEnded, Program: "a-1.7-1", State: program.StateEnded, At: 9, Workers: []string{"w"}},
		}},
	} {
		b, err := c.encode(&s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, false)
		f.Add(b[:len(b)-1], false)
		if b, err = msgpack.Marshal(&s); err != nil {
			f.Fatal(err)
		}
		f.Add(b, true)
		f.Add(b[:len(b)/2], true)
	}
	f.Add(bytes.Repeat([]byte{0x91}, 1000), true) // nested arrays
	f.Fuzz(func(t *testing.T, b []byte, plain bool) {
		if plain {
			b = c.enc.EncodeAll(b, nil)
		}
		s, err := c.decode(b)
		if err != nil {
			return
		}
		encoded, err := c.encode(s)
		if err != nil {
			t.Fatalf("encode %+v: %v", s, err)
		}
		decoded, err := c.decode(encoded)
		if err != nil {
			t.Fatalf("decode the encoded segment %+v: %v", s, err)
		}
		// omitempty drops empty lists.
		if d := cmp.Diff(s, decoded, cmpopts.EquateEmpty()); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against segment names that sort in another order than their segments were written.
func FuzzSegmentName(f *testing.F) {
	f.Add("a-1.7/0000000001")
	f.Add("a-1.7/x")
	f.Add("0")
	f.Fuzz(func(t *testing.T, name string) {
		seq, err := segmentSeq(name)
		if err != nil {
			return
		}
		if parsed, err := segmentSeq(segmentName("a-1.7", seq)); err != nil || parsed != seq {
			t.Fatalf("%q has seq %d, its formatted name has %d (%v)", name, seq, parsed, err)
		}
	})
}
