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

// storeLatency is the time of one write; the platform answers in milliseconds.
const storeLatency = 3 * time.Millisecond

// slowStore is a store in memory that counts the bytes of the objects written to it.
type slowStore struct {
	objectapi.Store
	writes, bytes atomic.Int64
}

func (s *slowStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	time.Sleep(storeLatency)
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.Store.Create(ctx, kind, name, value)
}

// journalRun is the journal of one host at one load.
type journalRun struct {
	perSecond          int
	interval           time.Duration
	turns              int
	writes, bytes, raw int64
	latency            time.Duration // mean time of a commit
}

func measureJournal(options) error {
	var runs []*journalRun
	for _, interval := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		for _, perSecond := range []int{6, 20, 57, 114} {
			runs = append(runs, &journalRun{perSecond: perSecond, interval: interval})
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
			r.interval, r.perSecond, float64(r.writes)/journalSeconds, float64(r.writes)*1000/float64(r.turns),
			float64(r.raw)/float64(r.turns), float64(r.bytes)/float64(r.turns), r.latency.Round(100*time.Microsecond))
		if r.interval >= 50*time.Millisecond {
			size.x, size.y = append(size.x, float64(r.turns)), append(size.y, float64(r.bytes))
		}
	}
	size.print()
	return measureSnapshots()
}

// journalSeconds is the length of one run.
const journalSeconds = 10

func (r *journalRun) run() error {
	store := &slowStore{Store: objectapi.NewMemory()}
	h := newHome(100)
	var mu sync.Mutex
	sent := map[program.CommitSeq]time.Time{}
	var waited time.Duration
	commits := 0
	j, err := homeservice.NewJournal(journal, store, r.interval, homeservice.JournalEvents{
		Committed: func(upTo program.CommitSeq) {
			mu.Lock()
			defer mu.Unlock()
			for t, at := range sent {
				if t <= upTo {
					waited += time.Since(at)
					commits++
					delete(sent, t)
				}
			}
		},
		StoreChanged: func(bool) {}, Deposed: func(string) {},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), journalSeconds*time.Second)
	defer cancel()
	// The reducer goes on without waiting for the journal; only the pace of the commits matters here.
	h.onCommit = func(c program.Commit) {
		mu.Lock()
		sent[c.Seq] = time.Now()
		mu.Unlock()
		for i := range c.Records {
			b, _ := msgpack.Marshal(&c.Records[i])
			r.raw += int64(len(b))
		}
		j.Append(c)
		h.pending = append(h.pending, program.Commit{Seq: c.Seq})
	}
	go j.Run(ctx)
	tick := time.NewTicker(time.Second / time.Duration(r.perSecond))
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			h.turn(h.programs[h.rng.IntN(len(h.programs))], fmt.Sprintf("key-%d", r.turns), turnBytes)
			r.turns++
		case <-ctx.Done():
		}
	}
	mu.Lock()
	defer mu.Unlock()
	r.writes, r.bytes = store.writes.Load(), store.bytes.Load()
	r.latency = waited / time.Duration(max(1, commits))
	return nil
}

// measureSnapshots measures the size of a snapshot, before compression, by the number of turns that it holds.
func measureSnapshots() error {
	s := newSeries("snapshot of 100 programs", "turns", "bytes")
	for _, turns := range []int{0, 400, 1600, 6400} {
		h := newHome(100)
		for i := range turns {
			h.turn(h.programs[i%100], fmt.Sprintf("key-%d", i), turnBytes)
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
	s.print()
	return nil
}
