package verdicts

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/poison"
)

var (
	chain = poison.Chain{{1}}
	start = time.Unix(1_000_000, 0)
)

// testHost is a keeper with its table and a clock.
type testHost struct {
	*Keeper
	records *poison.Table
	at      time.Time
	owner   bool
	down    bool
}

func (h *testHost) All() []poison.Record { return h.records.Records(h.at, 1<<62, 1<<30) }

func (h *testHost) Merge(records []poison.Record, _ string) { h.records.Merge(h.at, records) }

func newTestHost(store objectapi.Store, at time.Time) *testHost {
	h := &testHost{records: poison.NewTable(), at: at}
	h.Keeper = NewKeeper(store, h, func(string) bool { return h.owner }, func() bool { return !h.down })
	h.now = func() time.Time { return h.at }
	return h
}

// end records that a server ended as it began to run the request.
func (h *testHost) end(server string) {
	end := poison.End{Lifetime: poison.Lifetime{Server: server, StartedAtMS: 5}, Began: true}
	h.records.RecordEnd(h.at, chain, 7, end)
	h.Observe(chain)
}

func (h *testHost) verdict() poison.Verdict {
	v, _ := h.records.Verdict(h.at, chain)
	return v
}

// checkAt checks at a later time.
func (h *testHost) checkAt(t *testing.T, at time.Time) {
	h.at = at
	h.check(t.Context())
}

func storedObjects(t *testing.T, store objectapi.Store) int {
	objects, _, err := store.List(t.Context(), Kind, "")
	if err != nil {
		t.Fatal(err)
	}
	return len(objects)
}

// Guards against a verdict that is lost when all hosts are killed at once: the request then ends servers again.
func TestVerdictOutlivesAllHosts(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	h := newTestHost(store, start)
	h.checkAt(t, start)
	g.Expect(h.Known()).To(BeTrue())
	h.end("a")
	h.end("b")
	h.check(t.Context())
	later := newTestHost(store, start.Add(9*time.Minute))
	g.Expect(later.Known()).To(BeFalse())
	later.check(t.Context())
	g.Expect(later.Known()).To(BeTrue())
	g.Expect(later.verdict()).To(Equal(poison.Quarantined))
	g.Expect(later.records.MayContain(7)).To(BeTrue())
	expired := newTestHost(store, start.Add(11*time.Minute))
	expired.check(t.Context())
	g.Expect(expired.verdict()).To(Equal(poison.Suspect), "the age counts from the last end, not from the start of the host")
}

// Guards against ends that count from the start again after each loss of all hosts, and against a write for each bystander
// of a server that ends.
func TestSuspicionIsStoredOnlyIfItLasts(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	h := newTestHost(store, start)
	h.end("a")
	h.checkAt(t, start)
	h.checkAt(t, start.Add(suspicionDelay/2))
	g.Expect(storedObjects(t, store)).To(BeZero())
	h.checkAt(t, start.Add(suspicionDelay))
	g.Expect(storedObjects(t, store)).To(Equal(1))
	next := newTestHost(store, start.Add(2*suspicionDelay))
	next.check(t.Context())
	g.Expect(next.verdict()).To(Equal(poison.Suspect))
	next.end("b")
	g.Expect(next.verdict()).To(Equal(poison.Quarantined))
	next.check(t.Context())
	third := newTestHost(store, start.Add(3*suspicionDelay))
	third.check(t.Context())
	g.Expect(third.verdict()).To(Equal(poison.Quarantined))
}

// Guards against a verdict that is never stored, because the store was unavailable when it was reached.
func TestVerdictIsStoredAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	h := newTestHost(store, start)
	h.check(t.Context())
	store.SetOutage(true)
	h.end("a")
	h.end("b")
	h.checkAt(t, start.Add(time.Second))
	h.down = true
	h.checkAt(t, start.Add(5*time.Second))
	store.SetOutage(false)
	h.down = false
	h.checkAt(t, start.Add(7*time.Second))
	g.Expect(storedObjects(t, store)).To(Equal(1))
}

// Guards against ends that are lost with all hosts because an earlier one is stored: a request whose quarantine is over
// then ends servers again and again.
func TestLaterEndsAreStoredToo(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	h := newTestHost(store, start)
	h.end("a")
	h.end("b")
	h.check(t.Context())
	for i, server := range []string{"c", "d", "e"} {
		h.at = start.Add(time.Duration(i+1) * 11 * time.Minute)
		g.Expect(h.verdict()).To(Equal(poison.Suspect))
		h.end(server)
		h.check(t.Context())
	}
	next := newTestHost(store, h.at.Add(time.Hour))
	next.check(t.Context())
	g.Expect(next.verdict()).To(Equal(poison.Quarantined), "five servers have ended")
	g.Expect(storedObjects(t, store)).To(Equal(1))
}

// Guards against a verdict that is not stored because the host at which the server ended is lost in the meantime, and
// against all hosts that write it.
func TestOwnerStoresWhatTheObserverHasNot(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	observer, other, owner := newTestHost(store, start), newTestHost(store, start), newTestHost(store, start)
	owner.owner = true
	observer.end("a")
	observer.end("b")
	for _, h := range []*testHost{other, owner} {
		h.check(t.Context())
		h.Merge(observer.All(), "")
		h.checkAt(t, start.Add(takeoverDelay/2))
	}
	g.Expect(storedObjects(t, store)).To(BeZero())
	other.checkAt(t, start.Add(2*takeoverDelay))
	g.Expect(storedObjects(t, store)).To(BeZero())
	owner.checkAt(t, start.Add(2*takeoverDelay))
	g.Expect(storedObjects(t, store)).To(Equal(1))
}

// Guards against two hosts that each have stored one end, so that neither object shows the verdict.
func TestRecordsOfTwoHostsAreMergedInTheStore(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	a, b := newTestHost(store, start), newTestHost(store, start)
	for _, h := range []*testHost{a, b} {
		h.check(t.Context())
	}
	a.end("a")
	b.end("b")
	for _, at := range []time.Time{start, start.Add(suspicionDelay), start.Add(2 * suspicionDelay)} {
		a.checkAt(t, at)
		b.checkAt(t, at)
	}
	b.check(t.Context())
	late := newTestHost(store, b.at)
	late.check(t.Context())
	g.Expect(late.verdict()).To(Equal(poison.Quarantined))
}

// Guards against a verdict that comes back from the store after the request has run to its end, and against objects that
// stay forever.
func TestClearedAndExpiredVerdictsAreDeleted(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	h := newTestHost(store, start)
	h.end("a")
	h.end("b")
	h.check(t.Context())
	g.Expect(storedObjects(t, store)).To(Equal(1))
	h.records.RecordSuccess(h.at, h.at.Add(time.Millisecond), chain)
	h.checkAt(t, start.Add(time.Second))
	g.Expect(storedObjects(t, store)).To(BeZero())
	h.end("c")
	h.end("d")
	h.checkAt(t, start.Add(2*time.Second))
	g.Expect(storedObjects(t, store)).To(Equal(1))
	sweeper := newTestHost(store, start.Add(25*time.Hour))
	sweeper.owner = true
	sweeper.check(t.Context())
	g.Expect(storedObjects(t, store)).To(BeZero())
}

// Guards against an object that no host has written: it must not keep a host from reading the others.
func TestInvalidObjectsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	store := objectapi.NewMemoryStore()
	h := newTestHost(store, start)
	h.end("a")
	h.end("b")
	h.check(t.Context())
	for name, value := range map[string]string{"x": "{}", "00": `{"ends":[]}`, "y": "no JSON"} {
		_, err := store.Create(t.Context(), Kind, name, []byte(value))
		g.Expect(err).NotTo(HaveOccurred())
	}
	late := newTestHost(store, start)
	late.check(t.Context())
	g.Expect(late.verdict()).To(Equal(poison.Quarantined))
}
