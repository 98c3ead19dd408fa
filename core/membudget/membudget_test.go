package membudget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against bounds that are exceeded, and against reserved bytes that are not returned, in any order of events.
func TestBudgetKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1<<20, 1<<26).Draw(t, "limit")
		b := New(limit)
		var accounts []*Account
		names := map[*Account]string{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event == 0 || len(accounts) == 0:
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address"))
				a := b.Open(name)
				names[a] = name
				accounts = append(accounts, a)
			case event == 1:
				i := rapid.IntRange(0, len(accounts)-1).Draw(t, "closed")
				b.Close(accounts[i])
				accounts = append(accounts[:i], accounts[i+1:]...)
			case event == 2:
				b.Release(rapid.SampledFrom(accounts).Draw(t, "released"), rapid.Int64Range(0, 1<<22).Draw(t, "bytes"))
			default:
				b.Reserve(rapid.SampledFrom(accounts).Draw(t, "reserved"), rapid.Int64Range(0, 1<<22).Draw(t, "bytes"))
			}
			total, addresses := int64(0), map[string]int64{}
			for _, a := range accounts {
				if a.Used() < 0 || a.Used() > limit/2 {
					t.Fatalf("an account uses %d of %d bytes", a.Used(), limit)
				}
				total += a.Used()
				addresses[names[a]] += a.Used()
			}
			if total != b.Used() || total > limit {
				t.Fatalf("accounts use %d, the budget %d of %d bytes", total, b.Used(), limit)
			}
			for name, used := range addresses {
				if used > int64(float64(limit)*maxAddressFraction) {
					t.Fatalf("address %s uses %d of %d bytes", name, used, limit)
				}
			}
		}
		for _, a := range accounts {
			b.Close(a)
		}
		if b.Used() != 0 || len(b.addresses) != 0 {
			t.Fatalf("%d bytes and %d addresses remain", b.Used(), len(b.addresses))
		}
	})
}

// fill reserves pieces for new accounts until one is refused.
func fill(b *Budget, address string, piece, each int64) Refusal {
	for {
		a := b.Open(address)
		for n := int64(0); n < each; n += piece {
			if refusal := b.Reserve(a, piece); refusal != Granted {
				return refusal
			}
		}
	}
}

// Guards against large requests that leave nothing for ordinary ones, also from the same address.
func TestLargeRequestsLeaveRoomForOrdinaryOnes(t *testing.T) {
	b := New(64 << 20)
	if refusal := fill(b, "crowd", 32<<10, 4<<20); refusal != AddressFull {
		t.Fatalf("refusal %d of the crowd", refusal)
	}
	if refusal := fill(b, "other", 32<<10, 4<<20); refusal != TotalFull {
		t.Fatalf("refusal %d of the other address", refusal)
	}
	for _, address := range []string{"crowd", "new"} {
		if refusal := b.Reserve(b.Open(address), 64<<10); refusal != Granted {
			t.Errorf("an ordinary request from %q is refused: %d", address, refusal)
		}
	}
}

// Guards against one address with small requests that leaves nothing for the others.
func TestAddressLeavesRoomForOthers(t *testing.T) {
	b := New(64 << 20)
	if refusal := fill(b, "crowd", 16<<10, 64<<10); refusal != AddressFull {
		t.Fatalf("refusal %d", refusal)
	}
	if refusal := b.Reserve(b.Open("new"), 64<<10); refusal != Granted {
		t.Errorf("an ordinary request from another address is refused: %d", refusal)
	}
}

// Guards against a bound for one connection that refuses the largest request, with head and response, at the smallest host.
func TestLargestRequestFits(t *testing.T) {
	const smallestHost = 112 << 20
	b := New(ClientBytes(smallestHost*7/10, minRestBytes))
	if refusal := b.Reserve(b.Open("a"), 4<<20+4<<20+2<<20); refusal != Granted {
		t.Errorf("refused: %d of %d bytes", refusal, b.Limit())
	}
}

// Guards against a limit that follows a heap which was measured during a burst, or ignores one that is larger for good.
func TestRestIsTheLeastOfTheLastEstimates(t *testing.T) {
	var r Rest
	for i := range restSamples {
		r.Observe(200 << 20)
		if i < restSamples-1 && r.Bytes() != minRestBytes {
			t.Fatalf("%d bytes after %d estimates", r.Bytes(), i+1)
		}
	}
	if r.Bytes() != 200<<20 {
		t.Errorf("%d bytes, want the lasting estimate", r.Bytes())
	}
	r.Observe(40 << 20)
	if r.Bytes() != 40<<20 {
		t.Errorf("%d bytes, want the least estimate", r.Bytes())
	}
}
