package home

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/nesting"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/program"
)

const (
	// maxBatchBytes closes a batch before compression, so that a segment stays below the 1 MB that the
	// store holds in a value even if nothing compresses.
	maxBatchBytes = 768 << 10
	// maxSegmentBytes bounds the memory that a damaged segment can ask for. A segment has at most maxBatchBytes, or
	// one larger record.
	maxSegmentBytes = 16 << 20
	// minSnapshotSegments is the length of a journal at which its home writes the first snapshot.
	minSnapshotSegments = 256
	// snapshotFactor is the length of a journal, in lengths of its last snapshot, at which the next one is due. With 3,
	// snapshots add half a segment for each segment of new records, and a reader reads at most three times the
	// state.
	snapshotFactor = 3
	// slowWriteTimeout is how long a commit may wait before programs go on without it.
	slowWriteTimeout = time.Second
	// minRetryBackoff and maxRetry bound the pause between two tries of one write.
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = time.Second
)

// segment is one object of a journal. Writer is drawn for each write, so that a home whose answer was
// lost can tell its own segment from the seal of an heir.
type segment struct {
	Journal ids.Journal      `msgpack:"j"`
	WriteID uint64           `msgpack:"w"`
	Records []program.Record `msgpack:"r"`
}

func segmentName(j ids.Journal, seq uint64) string { return fmt.Sprintf("%s/%010d", j, seq) }

func segmentSeq(name string) (uint64, error) {
	_, n, _ := strings.Cut(name, "/")
	seq, err := strconv.ParseUint(n, 10, 64)
	return seq, errors.Wrapf(err, "segment name %q", name)
}

// codec compresses segments; its encoder and decoder are safe for concurrent EncodeAll and DecodeAll.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

func newCodec() (*codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "create zstd encoder")
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSegmentBytes))
	if err != nil {
		return nil, errors.Wrap(err, "create zstd decoder")
	}
	return &codec{enc: enc, dec: dec}, nil
}

func (c *codec) encode(s *segment) ([]byte, error) {
	b, err := msgpack.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode segment")
	}
	return c.enc.EncodeAll(b, nil), nil
}

func (c *codec) decode(b []byte) (*segment, error) {
	raw, err := c.dec.DecodeAll(b, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress segment")
	}
	if err := nesting.Check(raw); err != nil {
		return nil, errors.Wrap(err, "decode segment")
	}
	var s segment
	if err := msgpack.Unmarshal(raw, &s); err != nil {
		return nil, errors.Wrap(err, "decode segment")
	}
	return &s, nil
}

// commit is one Commit effect with its encoded size.
type commit struct {
	seq      program.CommitSeq
	records  []program.Record
	bytes    int
	snapshot bool
	span     trace.Span // nil for a commit without a trace
}

// JournalHooks is what a Journal reports.
type JournalHooks struct {
	Committed                func(upTo program.CommitSeq)
	StoreAvailabilityChanged func(down bool)
	Fenced                   func(reason string)
}

// JournalWriter writes the journal of this incarnation: batches in order, one write at a time, each as a new
// object that must not exist yet. An object that somebody else created is an heir's seal, after which
// nothing can be written.
type JournalWriter struct {
	id            ids.Journal
	store         objectapi.Store
	codec         *codec
	batchInterval time.Duration
	hooks         JournalHooks
	tracer        trace.Tracer

	mu               sync.Mutex
	queue            []commit
	wake             chan struct{}
	storeUnavailable bool
	writeNumber      uint64 // number of the write under way
	uncommittedBytes int
	nextSegment      uint64 // seq of the next segment
	// firstSegment is the first segment that no snapshot covers.
	firstSegment uint64
	// snapshotStart is the first segment of the snapshot that is being written, or 0.
	snapshotStart uint64
	// snapshotSegments is the length of the last snapshot.
	snapshotSegments uint64
}

// NewJournalWriter returns the writer of a journal that has no segments yet. It waits interval for more records
// before each batch, so that the store's write rate does not depend on the load.
func NewJournalWriter(id ids.Journal, store objectapi.Store, interval time.Duration, ev JournalHooks) (*JournalWriter, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &JournalWriter{
		id: id, store: store, codec: c, batchInterval: interval, hooks: ev, tracer: otel.Tracer(tracerName),
		wake: make(chan struct{}, 1), nextSegment: 1, firstSegment: 1,
	}, nil
}

// Append queues the records of one commit. Tokens must rise.
func (j *JournalWriter) Append(e program.Commit) {
	size := 0
	for i := range e.Records {
		b, _ := msgpack.Marshal(&e.Records[i])
		size += len(b)
	}
	j.mu.Lock()
	j.queue = append(j.queue, commit{seq: e.Seq, records: e.Records, bytes: size, snapshot: e.Snapshot, span: j.startSpan(e)})
	j.uncommittedBytes += size
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// startSpan starts the span of a commit, which ends when it is durable.
func (j *JournalWriter) startSpan(e program.Commit) trace.Span {
	if e.Trace == "" || len(e.Records) == 0 {
		return nil
	}
	first := e.Records[0]
	_, span := j.tracer.Start(withTrace(e.Trace), "commit "+string(first.Op), trace.WithAttributes(
		attribute.String("program", string(first.Program)), attribute.String("journal", string(j.id))))
	return span
}

// AllDurable says whether everything is durable.
func (j *JournalWriter) AllDurable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue) == 0
}

// StoreUnavailable says whether the oldest commit has been waiting for longer than storeWait.
func (j *JournalWriter) StoreUnavailable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.storeUnavailable
}

// UncommittedBytes returns the bytes of records that are not durable yet.
func (j *JournalWriter) UncommittedBytes() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.uncommittedBytes
}

// SnapshotDue says whether the journal is long enough for a snapshot: at least minSegments, and several times the last
// snapshot. A snapshot of a large state is longer than minSegments itself, and without the second condition the next
// one would begin as soon as it is written.
func (j *JournalWriter) SnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.nextSegment-j.firstSegment >= max(minSnapshotSegments, snapshotFactor*j.snapshotSegments)
}

// Run writes batches until ctx is done or the journal is sealed.
func (j *JournalWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		for !j.AllDurable() {
			if !j.waitForBatch(ctx) || !j.writeBatch(ctx) {
				return
			}
		}
	}
}

// waitForBatch waits for more records: for the batch interval, or until they fill a segment.
func (j *JournalWriter) waitForBatch(ctx context.Context) bool {
	t := time.NewTimer(j.batchInterval)
	defer t.Stop()
	for j.UncommittedBytes() < maxBatchBytes {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		case <-j.wake:
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// writeBatch writes the oldest commits as one segment, and repeats the write until its outcome is known. A
// commit larger than a segment is split; its token counts as committed with its last part.
func (j *JournalWriter) writeBatch(ctx context.Context) bool {
	batch, last, taken := j.takeBatch()
	seg := &segment{Journal: j.id, WriteID: rand.Uint64(), Records: batch}
	value, err := j.codec.encode(seg)
	if err != nil {
		j.hooks.Fenced(err.Error())
		return false
	}
	write := j.nextWriteNumber()
	slow := time.AfterFunc(slowWriteTimeout, func() { j.handleSlowWrite(write) })
	defer slow.Stop()
	for pause := minRetryBackoff; ; pause = min(2*pause, maxRetryBackoff) {
		done, err := j.tryWrite(ctx, value)
		if err != nil {
			j.hooks.Fenced(err.Error())
			return false
		}
		if done {
			break
		}
		if !sleep(ctx, pause) {
			return false
		}
	}
	j.nextWriteNumber()
	snapshot := j.dequeue(taken)
	j.setStoreUnavailable(false)
	if snapshot {
		j.truncate(ctx)
	}
	if last != 0 {
		j.hooks.Committed(last)
	}
	return true
}

// takeBatch returns the records of the next segment, the last token that is complete with it, and what
// drop takes off the queue.
func (j *JournalWriter) takeBatch() (records []program.Record, last program.CommitSeq, taken int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	size := 0
	for i := range j.queue {
		c := &j.queue[i]
		if taken > 0 && (c.snapshot || size+c.bytes > maxBatchBytes) {
			break
		}
		if c.snapshot && j.snapshotStart == 0 {
			j.snapshotStart = j.nextSegment
		}
		if c.bytes > maxBatchBytes {
			return j.splitFirstCommit()
		}
		records = append(records, c.records...)
		size += c.bytes
		last = c.seq
		taken++
		if c.snapshot {
			break
		}
	}
	return records, last, taken
}

// splitFirstCommit takes the first part of a commit that is larger than a segment. The rest stays in the queue under
// the same token.
func (j *JournalWriter) splitFirstCommit() ([]program.Record, program.CommitSeq, int) {
	c := &j.queue[0]
	size, n := 0, 0
	for n < len(c.records) {
		b, _ := msgpack.Marshal(&c.records[n])
		if n > 0 && size+len(b) > maxBatchBytes {
			break
		}
		size += len(b)
		n++
	}
	part := c.records[:n]
	if n == len(c.records) {
		return part, c.seq, 1
	}
	c.records = c.records[n:]
	c.bytes -= size
	j.uncommittedBytes -= size
	return part, 0, 0
}

// dequeue takes durable commits off the queue and says whether the last of them was a snapshot.
func (j *JournalWriter) dequeue(n int) (snapshot bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.queue[:n] {
		j.uncommittedBytes -= c.bytes
		snapshot = c.snapshot
		if c.span != nil {
			c.span.End()
		}
	}
	j.queue = j.queue[n:]
	return snapshot
}

// truncate deletes the segments before a durable snapshot. A failure is harmless: readers skip what precedes a
// snapshot, and the next cut tries again.
func (j *JournalWriter) truncate(ctx context.Context) {
	j.mu.Lock()
	first, start := j.firstSegment, j.snapshotStart
	j.snapshotStart, j.snapshotSegments = 0, j.nextSegment-start
	j.mu.Unlock()
	for ; first < start; first++ {
		err := j.store.Delete(ctx, objectapi.KindJournal, segmentName(j.id, first), 0)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			break
		}
	}
	j.mu.Lock()
	j.firstSegment = first
	j.mu.Unlock()
}

// tryWrite writes the segment once. It returns an error if the journal was sealed.
func (j *JournalWriter) tryWrite(ctx context.Context, value []byte) (bool, error) {
	j.mu.Lock()
	seq := j.nextSegment
	j.mu.Unlock()
	name := segmentName(j.id, seq)
	_, err := j.store.Create(ctx, objectapi.KindJournal, name, value)
	if errors.Is(err, objectapi.ErrConflict) {
		// Either an earlier try took effect and its answer was lost, or an heir sealed the journal.
		found, getErr := j.store.Get(ctx, objectapi.KindJournal, name)
		if getErr != nil {
			return false, nil
		}
		if !bytes.Equal(found.Value, value) {
			return false, errors.Newf("journal %s is sealed at segment %d", j.id, seq)
		}
		err = nil
	}
	if err != nil {
		return false, nil
	}
	j.mu.Lock()
	j.nextSegment++
	j.mu.Unlock()
	return true, nil
}

// setStoreUnavailable reports a change of the access to the store. The report is made under the lock, so that reports come in
// the order of the changes.
func (j *JournalWriter) setStoreUnavailable(down bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.setStoreUnavailableLocked(down)
}

// handleSlowWrite reports the store as down if the write is still under way. The timer of a write can fire in the
// instant in which the write ends.
func (j *JournalWriter) handleSlowWrite(write uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.writeNumber == write {
		j.setStoreUnavailableLocked(true)
	}
}

// setStoreUnavailableLocked needs the lock.
func (j *JournalWriter) setStoreUnavailableLocked(down bool) {
	if j.storeUnavailable != down {
		j.storeUnavailable = down
		j.hooks.StoreAvailabilityChanged(down)
	}
}

// nextWriteNumber begins a write and returns its number; a timer of an earlier write has no effect any more.
func (j *JournalWriter) nextWriteNumber() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writeNumber++
	return j.writeNumber
}

// SealJournal closes another incarnation's journal on behalf of the heir and returns its records. After it has
// returned without error, the former home can commit nothing more. It can be repeated.
func SealJournal(ctx context.Context, store objectapi.Store, dead, heir ids.Journal) ([]program.Record, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	seal, err := c.encode(&segment{
		Journal: dead, WriteID: rand.Uint64(),
		Records: []program.Record{{Op: program.OpSeal, Successor: heir}},
	})
	if err != nil {
		return nil, err
	}
	for {
		records, next, sealed, err := readJournal(ctx, store, c, dead)
		if err != nil || sealed {
			return records, err
		}
		_, err = store.Create(ctx, objectapi.KindJournal, segmentName(dead, next), seal)
		if err != nil && !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrOutcomeUnknown) {
			return nil, errors.Wrapf(err, "seal journal %s", dead)
		}
		// Read again: a batch of the former home may have come first, and then the seal goes after it.
	}
}

// readJournal returns all records of a journal, the seq after its last segment, and whether it is sealed.
func readJournal(ctx context.Context, store objectapi.Store, c *codec, id ids.Journal) (records []program.Record, next uint64, sealed bool, err error) {
	objects, _, err := store.List(ctx, objectapi.KindJournal, string(id)+"/")
	if err != nil {
		return nil, 0, false, errors.Wrapf(err, "list journal %s", id)
	}
	next = 1
	snapshot := 0
	for _, o := range objects {
		seq, err := segmentSeq(o.Name)
		if err != nil {
			return nil, 0, false, err
		}
		s, err := c.decode(o.Value)
		if err != nil {
			return nil, 0, false, errors.Wrapf(err, "journal segment %s", o.Name)
		}
		next = seq + 1
		for _, rec := range s.Records {
			switch rec.Op {
			case program.OpSeal:
				return records, next, true, nil
			case program.OpSnapshotStart:
				snapshot = len(records)
			case program.OpSnapshotEnd:
				records = records[snapshot:]
				snapshot = 0
			default:
				records = append(records, rec)
			}
		}
	}
	return records, next, false, nil
}

// DeleteJournal removes the segments of a journal whose programs have been adopted, except its seal. The former home may be
// frozen before the write of its next segment, and the seal is what makes the store refuse it.
func DeleteJournal(ctx context.Context, store objectapi.Store, id ids.Journal) error {
	objects, _, err := store.List(ctx, objectapi.KindJournal, string(id)+"/")
	if err != nil {
		return errors.Wrapf(err, "list journal %s", id)
	}
	c, err := newCodec()
	if err != nil {
		return err
	}
	for _, o := range objects {
		if s, err := c.decode(o.Value); err == nil && isSeal(s) {
			continue
		}
		if err := store.Delete(ctx, objectapi.KindJournal, o.Name, 0); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return errors.Wrapf(err, "delete segment %s", o.Name)
		}
	}
	return nil
}

func isSeal(s *segment) bool { return len(s.Records) == 1 && s.Records[0].Op == program.OpSeal }
