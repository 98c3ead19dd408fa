package home

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// startJournal runs a journal on a store with the given write delay; committed receives the sequence numbers.
func startJournal(t *testing.T, interval, writeDelay time.Duration) (j *JournalWriter, store *objectapi.MemoryStore, committed chan program.CommitSeq) {
	t.Helper()
	store = objectapi.NewMemoryStore()
	committed = make(chan program.CommitSeq, 1000)
	j, err := NewJournalWriter("a-1.1", slowStore{store, writeDelay}, interval, JournalHooks{
		Committed: func(upTo program.CommitSeq) { committed <- upTo }, StoreAvailabilityChanged: func(bool) {}, Fenced: func(string) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go j.Run(ctx)
	return j, store, committed
}

type slowStore struct {
	objectapi.Store
	writeDelay time.Duration
}

func (s slowStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	<-time.After(s.writeDelay)
	return s.Store.Create(ctx, kind, name, value)
}

func commitOf(seq program.CommitSeq, bytes int) program.Commit {
	return program.Commit{Seq: seq, Records: []program.Record{{Op: program.OpTurn, Program: "a-1.1-1", Turn: &api.Turn{Answer: strings.Repeat("x", bytes)}}}}
}

// TestBatchInterval guards against a write rate that depends on the load: records appended during a write were written
// immediately instead of after the interval.
func TestBatchInterval(t *testing.T) {
	const interval = 50 * time.Millisecond
	j, store, _ := startJournal(t, interval, 20*time.Millisecond)
	start := time.Now()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for seq := program.CommitSeq(1); time.Since(start) < 400*time.Millisecond; seq++ {
		j.Append(commitOf(seq, 10))
		<-tick.C
	}
	_, writes := store.CallCounts()
	if maxWrites := int(time.Since(start)/interval) + 1; writes > maxWrites || writes == 0 {
		t.Errorf("%d writes in %s, want 1 to %d", writes, time.Since(start), maxWrites)
	}
}

// TestFullBatch guards against a backlog that is written at only one segment per interval.
func TestFullBatch(t *testing.T) {
	j, _, committed := startJournal(t, time.Hour, 0)
	for seq := program.CommitSeq(1); seq <= 3; seq++ {
		j.Append(commitOf(seq, maxBatchBytes))
	}
	for range 3 {
		select {
		case <-committed:
		case <-time.After(10 * time.Second):
			t.Fatal("a full segment waits for the batch interval")
		}
	}
}

// TestSnapshotOfLargeState guards against endless snapshots: a snapshot longer than minSnapshotSegments made the next
// one due immediately.
func TestSnapshotOfLargeState(t *testing.T) {
	j, store, committed := startJournal(t, time.Millisecond, 0)
	snapshot := program.Commit{Seq: 1, Snapshot: true, Records: []program.Record{{Op: program.OpSnapshotStart}}}
	record := commitOf(1, maxBatchBytes-100).Records[0] // fills a segment
	for range minSnapshotSegments + 44 {
		snapshot.Records = append(snapshot.Records, record)
	}
	snapshot.Records = append(snapshot.Records, program.Record{Op: program.OpSnapshotEnd})
	j.Append(snapshot)
	select {
	case <-committed:
	case <-time.After(time.Minute):
		t.Fatal("the snapshot was not written")
	}
	if _, writes := store.CallCounts(); writes < minSnapshotSegments {
		t.Fatalf("the snapshot took %d segments; the test needs at least %d", writes, minSnapshotSegments)
	}
	if j.SnapshotDue() {
		t.Error("the next snapshot is due as soon as the first is written")
	}
	j.mu.Lock()
	j.nextSegment += 2 * (minSnapshotSegments + 46)
	j.mu.Unlock()
	if !j.SnapshotDue() {
		t.Error("no snapshot is due after twice its length in new segments")
	}
}

// TestLateTimerOfAnEndedWrite guards against a store that is reported as unavailable until the next commit because the
// timer of a slow write fired at the moment in which the write ended.
func TestLateTimerOfAnEndedWrite(t *testing.T) {
	var reports []bool
	j, err := NewJournalWriter("a-1.1", objectapi.NewMemoryStore(), time.Millisecond, JournalHooks{
		Committed: func(program.CommitSeq) {}, StoreAvailabilityChanged: func(unavailable bool) { reports = append(reports, unavailable) }, Fenced: func(string) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := j.nextWriteNumber()
	j.nextWriteNumber()
	j.handleSlowWrite(ended)
	if len(reports) > 0 || j.StoreUnavailable() {
		t.Errorf("the timer of an ended write reported the store as unavailable: %v", reports)
	}
}
