package home_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/service/home"
)

func TestHome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "home")
}

const (
	self        = ids.Journal("almaty-a-1.1")
	successor   = ids.Journal("almaty-b-1.4")
	testTimeout = 10 * time.Second
)

// recorder records the calls of a journal's hooks.
type recorder struct {
	mu           sync.Mutex
	committed    program.CommitSeq
	storeChanges []bool
	fencedReason string
}

func (r *recorder) events() home.JournalHooks {
	lock := func(f func()) {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	}
	return home.JournalHooks{
		Committed:                func(seq program.CommitSeq) { lock(func() { r.committed = seq }) },
		StoreAvailabilityChanged: func(unavailable bool) { lock(func() { r.storeChanges = append(r.storeChanges, unavailable) }) },
		Fenced:                   func(reason string) { lock(func() { r.fencedReason = reason }) },
	}
}

func (r *recorder) upTo() program.CommitSeq {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.committed
}

func (r *recorder) storeReports() []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]bool(nil), r.storeChanges...)
}

func (r *recorder) fenced() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fencedReason
}

func start(store objectapi.Store) (*home.JournalWriter, *recorder) {
	r := &recorder{}
	j, err := home.NewJournalWriter(self, store, time.Millisecond, r.events())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go j.Run(ctx)
	return j, r
}

func turn(key, text string) program.Record {
	return program.Record{Op: program.OpTurn, Program: "almaty-a-1.1-1", Key: key, Turn: &api.Turn{Key: key, Answer: text}}
}

func commitOf(seq program.CommitSeq, records ...program.Record) program.Commit {
	return program.Commit{Seq: seq, Records: records}
}

// incompressibleText returns at least n bytes that barely compress, so that segments keep their size.
func incompressibleText(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x", uint64(i)*0x9e3779b97f4a7c15)
	}
	return b.String()
}

func keys(records []program.Record) []string {
	var out []string
	for _, r := range records {
		out = append(out, r.Key)
	}
	return out
}

var _ = Describe("Journal", func() {
	ctx := context.Background()

	// Guards against an acknowledged turn that is missing in the records that the successor reads.
	It("returns every committed record to the successor and rejects commits of the former home after the seal", func() {
		store := objectapi.NewMemoryStore()
		j, r := start(store)
		j.Append(commitOf(1, turn("a", "x")))
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(1)))
		records, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(records)).To(Equal([]string{"a"}))
		j.Append(commitOf(2, turn("b", "y")))
		Eventually(r.fenced, testTimeout).Should(ContainSubstring("sealed"))
		Expect(r.upTo()).To(Equal(program.CommitSeq(1)))
		repeated, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(repeated)).To(Equal([]string{"a"}))
	})

	// Guards against a home that, after a freeze, acknowledges a turn although its programs were adopted and its journal
	// deleted.
	It("rejects commits of the former home after the journal was deleted", func() {
		store := objectapi.NewMemoryStore()
		j, r := start(store)
		j.Append(commitOf(1, turn("a", "x")))
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(1)))
		_, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(home.DeleteJournal(ctx, store, self)).To(Succeed())
		j.Append(commitOf(2, turn("b", "y")))
		Eventually(r.fenced, testTimeout).Should(ContainSubstring("sealed"))
		Expect(r.upTo()).To(Equal(program.CommitSeq(1)))
		Expect(home.DeleteJournal(ctx, store, self)).To(Succeed(), "the next start of the host deletes it again")
		objects, _, err := store.List(ctx, objectapi.KindJournal, string(self)+"/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(HaveLen(1), "the seal is kept")
		Expect(home.SealJournal(ctx, store, self, successor)).To(BeEmpty())
	})

	// Guards against a home that mistakes its own write for a seal after the response was lost.
	It("continues after the response to a write was lost", func() {
		store := objectapi.NewMemoryStore()
		j, r := start(store)
		store.LoseAnswers(1)
		j.Append(commitOf(1, turn("a", "x")))
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(1)))
		j.Append(commitOf(2, turn("b", "x")))
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(2)))
		Expect(r.fenced()).To(BeEmpty())
		records, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(records)).To(Equal([]string{"a", "b"}))
	})

	// Guards against an outage that loses or reorders records, or is not reported.
	It("reports an outage and commits everything in order after it", func() {
		store := objectapi.NewMemoryStore()
		j, r := start(store)
		store.SetOutage(true)
		for i := range 5 {
			j.Append(commitOf(program.CommitSeq(i+1), turn(fmt.Sprint(i), "x")))
		}
		Eventually(r.storeReports, testTimeout).Should(Equal([]bool{true}))
		Expect(r.upTo()).To(BeZero())
		store.SetOutage(false)
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(5)))
		Eventually(r.storeReports, testTimeout).Should(Equal([]bool{true, false}))
		records, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(records)).To(Equal([]string{"0", "1", "2", "3", "4"}))
	})

	// Guards against a takeover that fails because its records exceed the size of one value of the store.
	It("splits a commit that is larger than a segment", func() {
		store := objectapi.NewMemoryStore()
		j, r := start(store)
		var records []program.Record
		for i := range 12 {
			records = append(records, turn(fmt.Sprint(i), incompressibleText(200<<10)))
		}
		j.Append(commitOf(1, records...))
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(1)))
		segments, _, err := store.List(ctx, objectapi.KindJournal, string(self)+"/")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(segments)).To(BeNumerically(">", 2))
		Expect(j.UncommittedBytes()).To(BeZero())
		read, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(read)).To(Equal(keys(records)))
	})

	// Guards against a journal that grows without bound, and against a reader that gets the records of a program twice.
	It("truncates the journal at a snapshot", func() {
		store := objectapi.NewMemoryStore()
		j, r := start(store)
		for i := range 4 {
			j.Append(commitOf(program.CommitSeq(i+1), turn(fmt.Sprint(i), "x")))
			Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(i + 1)))
		}
		j.Append(program.Commit{Seq: 5, Snapshot: true, Records: []program.Record{
			{Op: program.OpSnapshotStart}, turn("whole", incompressibleText(900<<10)), turn("state", "x"), {Op: program.OpSnapshotEnd},
		}})
		j.Append(commitOf(6, turn("after", "x")))
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(6)))
		objects, _, err := store.List(ctx, objectapi.KindJournal, string(self)+"/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects[0].Name).To(HaveSuffix("0000000005"), "the four segments before the snapshot are deleted")
		read, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(read)).To(Equal([]string{"whole", "state", "after"}))
	})

	// Guards against a takeover that reads another incarnation's journal because its name has the same prefix.
	It("reads no other journal whose name has the same prefix", func() {
		store := objectapi.NewMemoryStore()
		for _, other := range []ids.Journal{"almaty-a-1.11", "almaty-a-11.1"} {
			records, err := home.SealJournal(ctx, store, other, successor)
			Expect(err).NotTo(HaveOccurred())
			Expect(records).To(BeEmpty())
		}
		j, r := start(store)
		j.Append(commitOf(1, turn("a", "x")))
		Eventually(r.upTo, testTimeout).Should(Equal(program.CommitSeq(1)))
		records, err := home.SealJournal(ctx, store, self, successor)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(records)).To(Equal([]string{"a"}))
	})
})
