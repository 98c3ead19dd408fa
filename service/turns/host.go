// Package turns retains the turns of programs on hosts with a disk, and reads them for entry hosts. Host is the role of a
// host with a disk; Client is the part of an entry host.
package turns

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/metrics"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// engineFolder is the folder of the storage engine in the data folder.
	engineFolder = "turns"
	// expireInterval is how often expired turns are deleted and the space on the disk is measured.
	expireInterval = time.Second
	// maxPieceBytes bounds the turns in one part of an answer, unless it holds a single larger one. Small parts keep other
	// answers on the connection from waiting.
	maxPieceBytes = 64 << 10
	// linkHeartbeatInterval and linkKeepAliveTimeout apply to connections that this host opens to others.
	linkHeartbeatInterval = 800 * time.Millisecond
	linkKeepAliveTimeout  = 2500 * time.Millisecond
	// headerTimeout bounds a request of an operator.
	headerTimeout = 5 * time.Second
	// answerMemoryFraction is the fraction of the memory setting for records that are read for answers at the same time.
	answerMemoryFraction = 0.125
)

// Host is a host with a disk.
type Host struct {
	settings *settings.EntryHost
	store    objectapi.Store
	metrics  *metrics.Metrics
	node     *wire.Node
	fs       vfs.FS
	copies   int
	// answerBytes bounds the records that are read for answers.
	answerBytes *byteGate
	// recovery says how fast copies are made, and copyLimit and serveLimit bound what this host copies and what it sends to
	// hosts that copy.
	recovery              turnlog.Recovery
	copyLimit, serveLimit *rate.Limiter
	// copyBatchBytes is about the size of the turns that are requested at once.
	copyBatchBytes int

	// shelf is nil until the disk has been read.
	shelf   atomic.Pointer[shelf]
	members *members
	// requestedAt is when another host last sent a request, in time since boot.
	requestedAt atomic.Int64
	copier      copier
	// copyInterval is how often the host asks the others for turns that it should have.
	copyInterval time.Duration

	retireMu sync.Mutex
}

// NewHost returns a host that does not listen yet. store is the platform's store.
func NewHost(s *settings.EntryHost, store objectapi.Store) *Host {
	incarnation := fmt.Sprintf("%012x-%d", time.Now().UnixMilli(), os.Getpid())
	recoveryDelay := cmp.Or(s.Promises.RecoveryDelay, settings.DefaultRecoveryDelay)
	recovery := turnlog.PlanRecovery(recoveryDelay, int64(float64(s.Disk.Bytes)*maxLiveFraction), s.Limits.LinkMbps*1e6/8)
	h := &Host{
		settings: s, store: store, fs: vfs.Default, copies: s.Promises.TolerableHostLosses + 1,
		recovery: recovery, copyInterval: min(maxCopyInterval, recoveryDelay/2),
		metrics:     metrics.New(s.Host.Name, s.Host.FailureDomain),
		answerBytes: newByteGate(int64(float64(s.Limits.MemoryBytes) * answerMemoryFraction)),
		copyLimit:   newByteLimiter(recovery.CopyBytesPerSecond), serveLimit: newByteLimiter(recovery.ServeBytesPerSecond),
		copyBatchBytes: min(maxCopyBatchBytes, int(float64(s.Limits.MemoryBytes)*pendingMemoryFraction*copyMemoryFraction/parallelFetches)),
	}
	h.members = newMembers(store, turnlog.Host{
		Name: s.Host.Name, Incarnation: incarnation, PeerAddress: s.Listen.Peer,
		FailureDomain: s.Host.FailureDomain, Region: s.Host.Region, State: turnlog.Ready,
	})
	h.node = wire.NewNode(wire.Options{
		ProcessName: s.Host.Name + "." + incarnation, HeartbeatInterval: linkHeartbeatInterval, KeepAliveTimeout: linkKeepAliveTimeout,
	})
	h.copier = newCopier(h)
	h.handle(wire.TypeKeepTurn, h.serveKeep)
	h.handle(wire.TypeLoadChain, h.serveChain)
	h.handle(wire.TypeTouchTurns, h.serveTouch)
	h.handle(wire.TypeListTurns, h.serveList)
	h.handle(wire.TypeFetchTurns, h.serveFetch)
	h.handle(wire.TypeDiskStatus, h.serveStatus)
	return h
}

// newByteLimiter returns a limiter of bytes a second; 0 means no limit.
func newByteLimiter(bytesPerSecond float64) *rate.Limiter {
	limit := rate.Limit(bytesPerSecond)
	if bytesPerSecond == 0 {
		limit = rate.Inf
	}
	return rate.NewLimiter(limit, copyBurstBytes)
}

// handle sets the handler of a frame type. Requests fail until the disk has been read.
func (h *Host) handle(t wire.Type, serve func(ctx context.Context, r *wire.Request, s *shelf) error) {
	h.node.Handle(t, func(ctx context.Context, r *wire.Request) {
		s := h.shelf.Load()
		err := errors.New("the host reads its disk")
		if s != nil {
			err = serve(ctx, r, s)
		}
		if err != nil && !r.OneWay() {
			_ = r.Fail(err) // fails only if the sender is gone
		}
	})
}

// isActive reports whether this host retains turns or is asked to, so that it must know the other hosts.
func (h *Host) isActive() bool {
	s := h.shelf.Load()
	if s == nil {
		return false
	}
	requestedAt := time.Duration(h.requestedAt.Load())
	return s.len() > 0 || requestedAt > 0 && clock.SinceBoot()-requestedAt < activeTime
}

func (h *Host) recordRequest() { h.requestedAt.Store(int64(clock.SinceBoot())) }

// Run opens the disk, registers the host and serves requests until ctx ends. Without a folder for data it only waits.
func (h *Host) Run(ctx context.Context) error {
	defer func() { _ = h.metrics.Close() }()
	if h.settings.Disk.Path == "" || h.settings.Listen.Peer == "" {
		<-ctx.Done()
		return nil
	}
	startedAt := time.Now()
	d, err := h.openDisk()
	if err != nil {
		return err
	}
	defer func() { _ = d.close() }()
	s, err := openShelf(d, h.settings.Disk.Bytes, h.recovery.MaxBytes, h.settings.Limits.MemoryBytes)
	if err != nil {
		return err
	}
	if _, err := h.node.Listen(h.settings.Listen.Peer); err != nil {
		return err
	}
	defer func() { _ = h.node.Close() }()
	if d.isNew && h.settings.Host.FirstStart {
		s.setCopyState(copiesMade)
	}
	h.members.setDisk(d.id, s.copyState() != copiesMade)
	h.shelf.Store(s)
	logging.Emit(logging.DiskHostStarted, logging.Fields{
		"host": h.settings.Host.Name, "incarnation": h.members.incarnation(), "disk": d.id, "new": d.isNew, "turns": s.len(),
		"bytes": s.index.Bytes(), "damaged": s.damaged, "ms": time.Since(startedAt).Milliseconds(), "peer": h.settings.Listen.Peer,
	})
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Addr: h.settings.Listen.Metrics, Handler: h.newOperatorHandler(), ReadHeaderTimeout: headerTimeout}
	group.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve at %s", server.Addr)
		}
		return nil
	})
	group.Go(func() error { <-ctx.Done(); return server.Close() })
	group.Go(func() error { h.expire(ctx, s); return nil })
	group.Go(func() error { h.members.run(ctx, h.isActive); return nil })
	group.Go(func() error { h.watchPeers(ctx); return nil })
	group.Go(func() error { h.copier.run(ctx, s); return nil })
	return group.Wait()
}

// openDisk opens the disk. If its contents are damaged so that the engine cannot tell what was written, the disk is lost:
// it is emptied, and the copies are made again from other hosts.
func (h *Host) openDisk() (*disk, error) {
	folder := filepath.Join(h.settings.Disk.Path, engineFolder)
	d, err := openDisk(folder, h.fs)
	if err != nil && pebble.IsCorruptionError(err) {
		logging.Emit(logging.DiskReplaced, logging.Fields{"error": err})
		if err := h.fs.RemoveAll(folder); err != nil {
			return nil, errors.Wrapf(err, "empty %s", folder)
		}
		d, err = openDisk(folder, h.fs)
	}
	if err != nil {
		return nil, err
	}
	if err := h.syncFolders(); err != nil {
		return nil, errors.CombineErrors(err, d.close())
	}
	return d, nil
}

// syncFolders syncs the entry of the engine's folder. Without that, a loss of power may remove the folder with all that was
// synced in it. The engine does this only for a folder that it has just created, which the process may not have survived.
func (h *Host) syncFolders() error {
	path := h.settings.Disk.Path
	for _, folder := range []string{path, filepath.Dir(path)} {
		f, err := h.fs.OpenDir(folder)
		if err != nil && folder != path {
			return nil // the platform's folder: it existed before this process
		}
		if err != nil {
			return errors.Wrapf(err, "open %s", folder)
		}
		if err := errors.CombineErrors(f.Sync(), f.Close()); err != nil && folder == path {
			return errors.Wrapf(err, "sync %s", folder)
		}
	}
	return nil
}

func (h *Host) expire(ctx context.Context, s *shelf) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := s.expire(); err != nil {
				logging.Emit(logging.DiskEngineFailed, logging.Fields{"error": err})
			}
			if !h.members.own().Refilling {
				s.endMissingTurns()
			}
			h.reportMetrics(s)
		case <-ctx.Done():
			return
		}
	}
}

// serveKeep retains a turn.
func (h *Host) serveKeep(_ context.Context, r *wire.Request, s *shelf) error {
	var request keepRequest
	if err := r.Decode(&request); err != nil {
		return err
	}
	h.recordRequest()
	if !request.Record.IsIntact() || request.Record.Meta.ID == "" {
		return errors.Newf("turn %q is not what was sent", request.Record.Meta.ID)
	}
	result, err := s.keep(request.Record, 0, false)
	if err != nil {
		return err
	}
	return r.Answer(keepAnswer{Status: result, DiskID: s.disk.id, NearlyFull: s.nearlyFull()})
}

// serveChain sends the turns up to one.
func (h *Host) serveChain(ctx context.Context, r *wire.Request, s *shelf) error {
	var request chainRequest
	if err := r.Decode(&request); err != nil {
		return err
	}
	h.recordRequest()
	entries, missing, result, err := s.chain(request.Turn, request.Team)
	if err != nil {
		return err
	}
	s.noteRetention(request.Retention)
	if result == statusAbsent && !s.hasAllTurns() {
		result = statusNotReady
	}
	piece := chainPiece{Status: result, Host: h.settings.Host.Name, Missing: missing}
	if len(entries) > 0 {
		piece.Anchor = entries[len(entries)-1].Anchor
	}
	if request.Probe || result != statusDone {
		return r.Answer(piece)
	}
	for _, e := range entries {
		piece.Bytes += e.Bytes
	}
	release, err := h.answerBytes.acquire(ctx, int64(min(piece.Bytes, 2*maxPieceBytes)))
	if err != nil {
		return err
	}
	defer release()
	size := 0
	for i, e := range entries {
		record, err := s.read(e)
		if errors.Is(err, turnlog.ErrCorrupt) {
			h.copier.requestRound()
			return errors.Wrapf(err, "read turn %q", e.ID)
		}
		if err != nil {
			return err
		}
		piece.Records = append(piece.Records, record)
		size += e.Bytes
		if size >= maxPieceBytes && i < len(entries)-1 {
			if err := r.SendPiece(piece); err != nil {
				return err
			}
			piece.Records, size = nil, 0
		}
	}
	return r.Answer(piece)
}

func (h *Host) serveTouch(_ context.Context, r *wire.Request, s *shelf) error {
	var message touchMessage
	if err := r.Decode(&message); err != nil {
		return err
	}
	s.touch(message.Turns)
	return nil
}

// byteGate bounds the bytes that are held at the same time.
type byteGate struct {
	mu      sync.Mutex
	free    int64
	limit   int64
	changed chan struct{} // closed when some are released
}

func newByteGate(limit int64) *byteGate {
	return &byteGate{free: limit, limit: limit, changed: make(chan struct{})}
}

// acquire waits until n bytes are free. More than the limit count as the limit.
func (g *byteGate) acquire(ctx context.Context, n int64) (release func(), err error) {
	n = min(n, g.limit)
	for {
		g.mu.Lock()
		if g.free >= n {
			g.free -= n
			g.mu.Unlock()
			return func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.free += n
				close(g.changed)
				g.changed = make(chan struct{})
			}, nil
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
