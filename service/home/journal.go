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
	// maxBatchBytes bounds a batch before compression, so that even an incompressible segment stays below the store's
	// limit of 1 MB for a value.
	maxBatchBytes = 768 << 10
	// maxSegmentBytes bounds the memory for decompressing a damaged segment. A segment has at most maxBatchBytes, or
	// one larger record.
	maxSegmentBytes = 16 << 20
	// minSnapshotSegments is the journal length at which the first snapshot is due.
	minSnapshotSegments = 256
	// snapshotFactor is the journal length at which the next snapshot is due, as a multiple of the last snapshot's
	// length. With 3, snapshots add half a segment per segment of new records, and a reader reads at most three times
	// the state.
	snapshotFactor = 3
	// slowWriteTimeout is the duration of a write after which the store is reported as unavailable, so that programs
	// continue without durable commits.
	slowWriteTimeout = time.Second
	// minRetryBackoff and maxRetryBackoff bound the backoff between two attempts of one write.
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = time.Second
)

// segment is one object of a journal. WriteID is random for each write, so that a home whose response was lost can
// distinguish its own segment from a successor's seal.
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

// codec encodes and compresses segments. It is safe for concurrent use.
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
		return nil, errors.Wrapf(err, "encode segment of journal %s", s.Journal)
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

// JournalHooks are called by a JournalWriter.
type JournalHooks struct {
	// Committed reports that all commits up to a sequence number are durable.
	Committed func(upTo program.CommitSeq)
	// StoreAvailabilityChanged is called under the writer's lock and must not call the writer.
	StoreAvailabilityChanged func(unavailable bool)
	// Fenced reports that the journal was sealed, or that a segment cannot be encoded; Run ends.
	Fenced func(reason string)
}

// JournalWriter writes the journal of this incarnation: batches in order, one write at a time, each as a new object
// that must not exist yet. An object that another process created is a successor's seal, after which nothing can be
// written.
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
	writeNumber      uint64 // number of the current write
	uncommittedBytes int
	nextSegment      uint64 // seq of the next segment
	// firstSegment is the first segment that no snapshot covers.
	firstSegment uint64
	// snapshotStart is the first segment of the snapshot that is being written, or 0.
	snapshotStart uint64
	// snapshotSegments is the length of the last snapshot, or 0.
	snapshotSegments uint64
}

// NewJournalWriter returns the writer of a journal that has no segments yet. It waits batchInterval for more records
// before each batch, so that the store's write rate does not depend on the load.
func NewJournalWriter(id ids.Journal, store objectapi.Store, batchInterval time.Duration, hooks JournalHooks) (*JournalWriter, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &JournalWriter{
		id: id, store: store, codec: c, batchInterval: batchInterval, hooks: hooks, tracer: otel.Tracer(tracerName),
		wake: make(chan struct{}, 1), nextSegment: 1, firstSegment: 1,
	}, nil
}

// Append queues the records of one commit. Commit sequence numbers must rise.
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

// startSpan starts the span of a commit; it ends when the commit is durable. It is nil without a trace.
func (j *JournalWriter) startSpan(e program.Commit) trace.Span {
	if e.Trace == "" || len(e.Records) == 0 {
		return nil
	}
	first := e.Records[0]
	_, span := j.tracer.Start(withTrace(e.Trace), "commit "+string(first.Op), trace.WithAttributes(
		attribute.String("program", string(first.Program)), attribute.String("journal", string(j.id))))
	return span
}

// AllDurable reports whether all appended commits are durable.
func (j *JournalWriter) AllDurable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue) == 0
}

// StoreUnavailable reports whether the current write has taken longer than slowWriteTimeout.
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

// SnapshotDue reports whether the journal has at least minSnapshotSegments and snapshotFactor times the length of the
// last snapshot. Without the second condition, a snapshot longer than minSnapshotSegments would make the next one due
// at once.
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

// writeBatch writes the oldest commits as one segment and retries until the outcome is known. A commit larger than a
// segment is split and reported as committed with its last part. It returns false if the writer must stop.
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
	for backoff := minRetryBackoff; ; backoff = min(2*backoff, maxRetryBackoff) {
		done, err := j.tryWrite(ctx, value)
		if err != nil {
			j.hooks.Fenced(err.Error())
			return false
		}
		if done {
			break
		}
		if !sleep(ctx, backoff) {
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

// takeBatch returns the records of the next segment, the sequence number of the last commit that it completes (0 if
// none), and the number of commits to dequeue after the write.
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
// the same sequence number.
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

// dequeue removes the first n commits, which are durable, and reports whether the last of them was a snapshot.
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

// truncate deletes the segments before a durable snapshot. The next truncation retries a failed delete; until then,
// readers skip the records before a snapshot.
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

// tryWrite writes the segment once. It returns false if the outcome is not known to be success, and an error if the
// journal was sealed.
func (j *JournalWriter) tryWrite(ctx context.Context, value []byte) (bool, error) {
	j.mu.Lock()
	seq := j.nextSegment
	j.mu.Unlock()
	name := segmentName(j.id, seq)
	_, err := j.store.Create(ctx, objectapi.KindJournal, name, value)
	if errors.Is(err, objectapi.ErrConflict) {
		// Either an earlier attempt took effect and its response was lost, or a successor sealed the journal.
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

// setStoreUnavailable reports a change of the store's availability. It calls the hook under the lock, so that the calls
// are in the order of the changes.
func (j *JournalWriter) setStoreUnavailable(unavailable bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.setStoreUnavailableLocked(unavailable)
}

// handleSlowWrite reports the store as unavailable unless the write has ended: its timer can fire at the moment in
// which the write ends.
func (j *JournalWriter) handleSlowWrite(write uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.writeNumber == write {
		j.setStoreUnavailableLocked(true)
	}
}

// setStoreUnavailableLocked requires j.mu.
func (j *JournalWriter) setStoreUnavailableLocked(unavailable bool) {
	if j.storeUnavailable != unavailable {
		j.storeUnavailable = unavailable
		j.hooks.StoreAvailabilityChanged(unavailable)
	}
}

// nextWriteNumber returns a new write number, after which the timers of earlier writes have no effect.
func (j *JournalWriter) nextWriteNumber() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writeNumber++
	return j.writeNumber
}

// SealJournal seals another incarnation's journal on behalf of the successor and returns its records. Once it has
// returned without error, the former home can commit nothing more. It is idempotent.
func SealJournal(ctx context.Context, store objectapi.Store, id, successor ids.Journal) ([]program.Record, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	seal, err := c.encode(&segment{
		Journal: id, WriteID: rand.Uint64(),
		Records: []program.Record{{Op: program.OpSeal, Successor: successor}},
	})
	if err != nil {
		return nil, err
	}
	for {
		records, next, sealed, err := readJournal(ctx, store, c, id)
		if err != nil || sealed {
			return records, err
		}
		_, err = store.Create(ctx, objectapi.KindJournal, segmentName(id, next), seal)
		if err != nil && !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrOutcomeUnknown) {
			return nil, errors.Wrapf(err, "seal journal %s", id)
		}
		// Reads again: the former home may have written this segment first, and the seal must follow it.
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

// DeleteJournal deletes the segments of a journal whose programs have been adopted, except its seal: a former home that
// was frozen may still write its next segment, and the store rejects it because the seal exists.
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
