package turns

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

func testRecord(id, previous string, size int) turnlog.Record {
	input := make([]byte, size)
	random := rand.New(rand.NewPCG(uint64(len(id)), uint64(size)))
	for i := range input {
		input[i] = byte('a' + random.IntN(26))
	}
	r := turnlog.Record{
		Meta:  turnlog.Meta{ID: id, Previous: previous, Program: "p", Anchor: turnlog.Anchor{Key: "p", FailureDomain: "a"}, Retention: 60e9},
		Input: input, Output: []byte("output of " + id + "\n"),
	}
	r.Seal()
	return r
}

// crashPoint is a copy of the file system as a loss of power would leave it before an operation.
type crashPoint struct {
	fs *vfs.MemFS
	// acknowledged are the turns that had been acknowledged when the copy was made, and begun those that may be there.
	acknowledged []string
	begun        int
}

// Guards against turns that were acknowledged and are lost, and against others that come back in parts, after a loss of
// power before any operation on the file system. What was not synced, entries of folders included, is lost or kept at
// random.
func TestAcknowledgedTurnsSurviveALossOfPowerAtEachOperation(t *testing.T) {
	const turnCount = 40
	for _, unsynced := range []int{0, 20, 50, 80, 100} {
		t.Run(fmt.Sprint(unsynced, "% of what is not synced"), func(t *testing.T) {
			g := NewWithT(t)
			fs := vfs.NewCrashableMem()
			random := rand.New(rand.NewPCG(1, uint64(unsynced)))
			var mu sync.Mutex
			var points []crashPoint
			var acknowledged []string
			begun := 0
			armed := atomic.Bool{}
			onOperation := errorfs.InjectorFunc(func(op errorfs.Op) error {
				if !armed.Load() || op.Kind.ReadOrWrite() == errorfs.OpIsRead {
					return nil
				}
				mu.Lock()
				defer mu.Unlock()
				clone := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: unsynced, RNG: random})
				points = append(points, crashPoint{fs: clone, acknowledged: append([]string{}, acknowledged...), begun: begun})
				return nil
			})
			armed.Store(true)
			d, err := openDiskWith("turns", errorfs.Wrap(fs, onOperation), 256<<10)
			g.Expect(err).NotTo(HaveOccurred())
			for i := range turnCount {
				if i == turnCount/2 { // the engine replaces its manifest at each start
					g.Expect(d.close()).To(Succeed())
					d, err = openDiskWith("turns", errorfs.Wrap(fs, onOperation), 256<<10)
					g.Expect(err).NotTo(HaveOccurred())
				}
				mu.Lock()
				begun = i + 1
				mu.Unlock()
				// The small write buffer makes the engine begin new files in between.
				g.Expect(d.put(uint64(i+1), testRecord(fmt.Sprint("t", i), "", 20<<10))).To(Succeed())
				mu.Lock()
				acknowledged = append(acknowledged, fmt.Sprint("t", i))
				mu.Unlock()
			}
			armed.Store(false)
			g.Expect(d.close()).To(Succeed())
			t.Logf("%d operations", len(points))
			g.Expect(len(points)).To(BeNumerically(">", 2*turnCount))
			for i, p := range points {
				checkAfterCrash(g, p, fmt.Sprint("operation ", i))
			}
		})
	}
}

func checkAfterCrash(g *WithT, p crashPoint, description string) {
	d, err := openDisk("turns", p.fs)
	g.Expect(err).NotTo(HaveOccurred(), description)
	defer func() { _ = d.close() }()
	found := map[string]bool{}
	damaged, err := d.scan(func(sequence uint64, m turnlog.Meta) {
		r, err := d.get(sequence)
		g.Expect(err).NotTo(HaveOccurred(), description)
		g.Expect(r.Meta).To(Equal(m))
		found[m.ID] = true
	})
	g.Expect(err).NotTo(HaveOccurred(), description)
	g.Expect(damaged).To(BeZero(), description)
	for _, id := range p.acknowledged {
		g.Expect(found).To(HaveKey(id), description)
	}
	g.Expect(len(found)).To(BeNumerically("<=", p.begun), description)
}

// Guards against a damaged record that is sent as it is, or that keeps its copies from being made again.
func TestDamagedRecordIsRemoved(t *testing.T) {
	g := NewWithT(t)
	d, err := openDisk("turns", vfs.NewMem())
	g.Expect(err).NotTo(HaveOccurred())
	s, err := openShelf(d, 256<<20, 256<<20, 0) // no cache
	g.Expect(err).NotTo(HaveOccurred())
	result, err := s.keep(testRecord("t1", "", 100), 0, false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result).To(Equal(statusDone))
	contents, closer, err := d.db.Get(sequenceKey(keyContents, 1))
	g.Expect(err).NotTo(HaveOccurred())
	damaged := append([]byte{}, contents...)
	g.Expect(closer.Close()).To(Succeed())
	damaged[len(damaged)/2] ^= 1
	g.Expect(d.db.Set(sequenceKey(keyContents, 1), damaged, nil)).To(Succeed())
	_, err = s.read(s.lookUp([]string{"t1"})[0])
	g.Expect(err).To(MatchError(turnlog.ErrCorrupt))
	g.Expect(s.has("t1")).To(BeFalse(), "so that the copier asks for it")
	g.Expect(d.close()).To(Succeed())
}

// Guards against a disk that is filled until the engine fails.
func TestTurnsAreRefusedBeforeTheDiskIsFull(t *testing.T) {
	g := NewWithT(t)
	d, err := openDisk("turns", vfs.NewMem())
	g.Expect(err).NotTo(HaveOccurred())
	s, err := openShelf(d, 10<<20, 10<<20*45/100, 64<<20)
	g.Expect(err).NotTo(HaveOccurred())
	kept, nearlyFullAt := 0, 0
	for i := range 200 {
		result, err := s.keep(testRecord(fmt.Sprint("t", i), "", 64<<10), 0, false)
		g.Expect(err).NotTo(HaveOccurred())
		if result == statusFull {
			break
		}
		g.Expect(result).To(Equal(statusDone))
		kept++
		if nearlyFullAt == 0 && !s.acceptsTurns() {
			nearlyFullAt = kept
		}
	}
	g.Expect(kept).To(BeNumerically("~", 72, 1), "0.45 of 10 MB")
	g.Expect(nearlyFullAt).To(BeNumerically("<", kept-5), "entry hosts are told before")
	g.Expect(nearlyFullAt).To(BeNumerically(">", kept/2))
	g.Expect(d.close()).To(Succeed())
}
