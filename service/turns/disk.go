package turns

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// blockCacheBytes is small, because records that are read soon after they were written come from recordCache.
	blockCacheBytes = 4 << 20
	memTableBytes   = 4 << 20
	// maxMemTables bounds the memory for writes that the disk has not taken yet; further ones wait.
	maxMemTables = 4
	maxOpenFiles = 128
)

// Keys of the engine: the disk's ID; then for each record by its sequence number, so that expired records are next to each
// other, its meta data, which is read at the start, and its contents.
var (
	keyDiskID = []byte("i")
	// keyCopies has the copyState of the disk; without it, the disk has all of its turns.
	keyCopies = []byte("f")
)

// copyState says what is known of the turns that a disk should have.
type copyState byte

const (
	// copiesMade: the disk has them.
	copiesMade copyState = iota
	// copiesMissing: the disk was empty, and has not yet got all of its copies from other hosts.
	copiesMissing
	// turnsMissing: so many disks were lost that turns may have no copy any more.
	turnsMissing
)

const (
	keyMeta     = 'm'
	keyContents = 'r'
)

func sequenceKey(kind byte, sequence uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{kind}, sequence)
}

// disk is the storage engine of a host. It is safe for concurrent use.
type disk struct {
	db *pebble.DB
	// id identifies the contents: a disk that was lost and replaced has another one.
	id string
	// isNew is set if the disk was empty when it was opened.
	isNew bool
	// state is that of the copies when the disk was opened.
	state copyState
}

// openDisk opens the engine in the folder, which it creates.
func openDisk(folder string, fs vfs.FS) (*disk, error) {
	return openDiskWith(folder, fs, memTableBytes)
}

func openDiskWith(folder string, fs vfs.FS, memTableBytes uint64) (*disk, error) {
	cache := pebble.NewCache(blockCacheBytes)
	defer cache.Unref()
	db, err := pebble.Open(folder, &pebble.Options{
		FS: syncedFS{fs}, Cache: cache, MemTableSize: memTableBytes, MemTableStopWritesThreshold: maxMemTables, MaxOpenFiles: maxOpenFiles,
		// This format tells a write that was cut off by a loss of power from a synced one that is damaged.
		FormatMajorVersion: pebble.FormatTableFormatV6,
		Logger:             engineLogger{},
		EventListener: &pebble.EventListener{
			BackgroundError: func(err error) { logging.Emit(logging.DiskEngineFailed, logging.Fields{"error": err}) },
			DataCorruption: func(i pebble.DataCorruptionInfo) {
				logging.Emit(logging.DiskEngineFailed, logging.Fields{"error": i.Details})
			},
		},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "open the storage engine in %s", folder)
	}
	d := &disk{db: db}
	if err := d.readID(); err != nil {
		_ = db.Close()
		return nil, err
	}
	return d, nil
}

// readID reads the disk's ID, or writes one if there is none.
func (d *disk) readID() error {
	value, closer, err := d.db.Get(keyDiskID)
	if err == nil {
		d.id = string(value)
		return errors.CombineErrors(closer.Close(), d.readCopyState())
	}
	if !errors.Is(err, pebble.ErrNotFound) {
		return errors.Wrap(err, "read the disk's ID")
	}
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	d.id, d.isNew, d.state = hex.EncodeToString(b[:]), true, copiesMissing
	batch := d.db.NewBatch()
	defer func() { _ = batch.Close() }()
	err = errors.CombineErrors(batch.Set(keyDiskID, []byte(d.id), nil), batch.Set(keyCopies, []byte{byte(d.state)}, nil))
	return errors.Wrap(errors.CombineErrors(err, batch.Commit(pebble.Sync)), "write the disk's ID")
}

func (d *disk) readCopyState() error {
	value, closer, err := d.db.Get(keyCopies)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the state of the copies")
	}
	d.state = turnsMissing
	if len(value) == 1 {
		d.state = copyState(value[0])
	}
	return closer.Close()
}

// setCopyState writes the state, and returns once it is synced.
func (d *disk) setCopyState(state copyState) error {
	return errors.Wrap(d.db.Set(keyCopies, []byte{byte(state)}, pebble.Sync), "write the state of the copies")
}

func (d *disk) close() error { return errors.Wrap(d.db.Close(), "close the storage engine") }

// put writes a record, and returns once it is synced.
func (d *disk) put(sequence uint64, r turnlog.Record) error {
	meta, err := turnlog.Encode(&r.Meta)
	if err != nil {
		return err
	}
	contents, err := turnlog.Encode(&r)
	if err != nil {
		return err
	}
	batch := d.db.NewBatch()
	defer func() { _ = batch.Close() }()
	if err := errors.CombineErrors(batch.Set(sequenceKey(keyMeta, sequence), meta, nil), batch.Set(sequenceKey(keyContents, sequence), contents, nil)); err != nil {
		return errors.Wrapf(err, "write turn %q", r.Meta.ID)
	}
	return errors.Wrapf(batch.Commit(pebble.Sync), "write turn %q", r.Meta.ID)
}

// get reads a record. turnlog.ErrCorrupt means that the record is damaged or missing.
func (d *disk) get(sequence uint64) (turnlog.Record, error) {
	var r turnlog.Record
	value, closer, err := d.db.Get(sequenceKey(keyContents, sequence))
	if err != nil {
		if pebble.IsCorruptionError(err) || errors.Is(err, pebble.ErrNotFound) {
			err = errors.Mark(err, turnlog.ErrCorrupt)
		}
		return r, errors.Wrapf(err, "read record %d", sequence)
	}
	defer func() { _ = closer.Close() }()
	if err := turnlog.Decode(value, &r); err != nil {
		return r, errors.Wrapf(err, "read record %d", sequence)
	}
	if !r.IsIntact() {
		return r, errors.Wrapf(turnlog.ErrCorrupt, "read record %d: checksum of its contents", sequence)
	}
	return r, nil
}

// remove deletes records. The deletion is not synced: a record that comes back after a loss of power expires again.
func (d *disk) remove(sequences []uint64) error {
	batch := d.db.NewBatch()
	defer func() { _ = batch.Close() }()
	for _, sequence := range sequences {
		if err := errors.CombineErrors(batch.Delete(sequenceKey(keyMeta, sequence), nil), batch.Delete(sequenceKey(keyContents, sequence), nil)); err != nil {
			return errors.Wrap(err, "delete records")
		}
	}
	return errors.Wrap(batch.Commit(pebble.NoSync), "delete records")
}

// scan calls f with the meta data of all records in the order of their sequence numbers. Those that cannot be decoded are
// deleted and counted as damaged.
func (d *disk) scan(f func(sequence uint64, m turnlog.Meta)) (damaged int, err error) {
	iterator, err := d.db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyMeta}, UpperBound: []byte{keyMeta + 1}})
	if err != nil {
		return 0, errors.Wrap(err, "read the records")
	}
	var bad []uint64
	for iterator.First(); iterator.Valid(); iterator.Next() {
		sequence := binary.BigEndian.Uint64(iterator.Key()[1:])
		var m turnlog.Meta
		if turnlog.Decode(iterator.Value(), &m) != nil {
			bad = append(bad, sequence)
			continue
		}
		f(sequence, m)
	}
	if err := iterator.Close(); err != nil {
		return len(bad), errors.Wrap(err, "read the records")
	}
	return len(bad), d.remove(bad)
}

// usedBytes returns the space that the engine uses on the disk.
func (d *disk) usedBytes() int64 { return int64(d.db.Metrics().DiskSpaceUsage()) }

// engineLogger passes the engine's errors on. Its other messages are not logged.
type engineLogger struct{}

func (engineLogger) Infof(string, ...any) {}

func (engineLogger) Errorf(format string, args ...any) {
	logging.Emit(logging.DiskEngineFailed, logging.Fields{"error": fmt.Sprintf(format, args...)})
}

// Fatalf is called when a write to the disk failed, so that the engine cannot tell what is stored. The process ends and
// reads the disk again when it is restarted.
func (engineLogger) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf("storage engine: "+format, args...))
}
