package turnlog

import (
	"testing"

	. "github.com/onsi/gomega"
)

func encodedRecord(t testing.TB) []byte {
	r := Record{Meta: Meta{ID: "t1", Previous: "t0", Program: "p", Anchor: Anchor{Key: "p", FailureDomain: "a"}}, Input: []byte("input"), Output: []byte("output\n")}
	r.Seal()
	b, err := Encode(&r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a damaged record that is taken for another one.
func TestDamagedRecordIsNotDecoded(t *testing.T) {
	g := NewWithT(t)
	b := encodedRecord(t)
	var r Record
	g.Expect(Decode(b, &r)).To(Succeed())
	g.Expect(r.IsIntact()).To(BeTrue())
	for i := range b {
		for _, change := range []byte{1, 0x80, 0xff} {
			damaged := append([]byte{}, b...)
			damaged[i] ^= change
			g.Expect(Decode(damaged, &Record{})).To(MatchError(ErrCorrupt), "byte %d", i)
		}
		g.Expect(Decode(b[:i], &Record{})).To(MatchError(ErrCorrupt), "%d bytes", i)
	}
	r.Output[0]++
	g.Expect(r.IsIntact()).To(BeFalse())
}

// Guards against stored bytes that end the process or take much memory.
func FuzzDecode(f *testing.F) {
	f.Add(encodedRecord(f))
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Record
		if err := Decode(b, &r); err == nil && r.IsIntact() {
			again, err := Encode(&r)
			if err != nil {
				t.Fatal(err)
			}
			var decoded Record
			if err := Decode(again, &decoded); err != nil || decoded.Meta != r.Meta {
				t.Fatalf("%+v is decoded as %+v: %v", r.Meta, decoded.Meta, err)
			}
		}
		// The checksum keeps most inputs from the decoder behind it, which is therefore fed directly as well.
		var m Meta
		_ = decodeBody(b, &m)
		_ = decodeBody(b, &Record{})
	})
}
