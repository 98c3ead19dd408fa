package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/program"
	homeservice "github.com/hyssopreel/hyssopreel/service/home"
)

// storeWriteLatency is the simulated latency of a write; that of the platform is a few milliseconds.
const storeWriteLatency = 3 * time.Millisecond

// measuredStore is a store in memory that delays the creation of objects and counts their number and bytes.
type measuredStore struct {
	objectapi.Store
	writes, writtenBytes atomic.Int64
}

func (s *measuredStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	time.Sleep(storeWriteLatency)
	s.writes.Add(1)
	s.writtenBytes.Add(int64(len(value)))
	return s.Store.Create(ctx, kind, name, value)
}

// journalRun measures the journal of one host at one load.
type journalRun struct {
	turnsPerSecond                             int
	batchInterval                              time.Duration
	turns                                      int
	writes, compressedBytes, uncompressedBytes int64
	meanCommitTime                             time.Duration // from Append until durable
}

func measureJournal(options) error {
	var runs []*journalRun
	for _, interval := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		for _, perSecond := range []int{6, 20, 57, 114} {
			runs = append(runs, &journalRun{turnsPerSecond: perSecond, batchInterval: interval})
		}
	}
	var wg sync.WaitGroup
	errs := make(chan error, len(runs))
	for _, r := range runs {
		wg.Go(func() { errs <- r.run() })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	size := newSeries("journal bytes after compression, 50 ms and more", "turns", "bytes")
	for _, r := range runs {
		fmt.Printf("batch interval %s, %d turns/s: %.4g writes/s, %.4g writes per 1,000 turns, %.4g bytes a turn before and %.4g after compression, a commit takes %s\n",
			r.batchInterval, r.turnsPerSecond, float64(r.writes)/journalRunSeconds, float64(r.writes)*1000/float64(r.turns),
			float64(r.uncompressedBytes)/float64(r.turns), float64(r.compressedBytes)/float64(r.turns), r.meanCommitTime.Round(100*time.Microsecond))
		if r.batchInterval >= 50*time.Millisecond {
			size.x, size.y = append(size.x, float64(r.turns)), append(size.y, float64(r.compressedBytes))
		}
	}
	size.printFit()
	return measureSnapshots()
}

// journalRunSeconds is the duration of one run.
const journalRunSeconds = 10

func (r *journalRun) run() error {
	store := &measuredStore{Store: objectapi.NewMemoryStore()}
	h := newHome(100)
	var mu sync.Mutex
	sent := map[program.CommitSeq]time.Time{}
	var totalCommitTime time.Duration
	commits := 0
	writer, err := homeservice.NewJournalWriter(journalID, store, r.batchInterval, homeservice.JournalHooks{
		Committed: func(upTo program.CommitSeq) {
			mu.Lock()
			defer mu.Unlock()
			for seq, sentAt := range sent {
				if seq <= upTo {
					totalCommitTime += time.Since(sentAt)
					commits++
					delete(sent, seq)
				}
			}
		},
		StoreAvailabilityChanged: func(bool) {}, Fenced: func(string) {},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), journalRunSeconds*time.Second)
	defer cancel()
	// The reducer does not wait for the journal, because only the rate of the commits matters here.
	h.onCommit = func(c program.Commit) {
		mu.Lock()
		sent[c.Seq] = time.Now()
		mu.Unlock()
		for i := range c.Records {
			b, _ := msgpack.Marshal(&c.Records[i])
			r.uncompressedBytes += int64(len(b))
		}
		writer.Append(c)
		h.pendingCommits = append(h.pendingCommits, program.Commit{Seq: c.Seq})
	}
	go writer.Run(ctx)
	tick := time.NewTicker(time.Second / time.Duration(r.turnsPerSecond))
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			h.runCall(h.programs[h.rng.IntN(len(h.programs))], fmt.Sprintf("key-%d", r.turns), turnBytes)
			r.turns++
		case <-ctx.Done():
		}
	}
	mu.Lock()
	defer mu.Unlock()
	r.writes, r.compressedBytes = store.writes.Load(), store.writtenBytes.Load()
	r.meanCommitTime = totalCommitTime / time.Duration(max(1, commits))
	return nil
}

// measureSnapshots measures the size of a snapshot, before compression, by the number of its turns.
func measureSnapshots() error {
	s := newSeries("snapshot of 100 programs", "turns", "bytes")
	for _, turns := range []int{0, 400, 1600, 6400} {
		h := newHome(100)
		for i := range turns {
			h.runCall(h.programs[i%100], fmt.Sprintf("key-%d", i), turnBytes)
		}
		total := 0
		for _, rec := range h.state.Export() {
			b, err := msgpack.Marshal(&rec)
			if err != nil {
				return err
			}
			total += len(b)
		}
		s.add(float64(turns), float64(total))
	}
	s.printFit()
	return nil
}
