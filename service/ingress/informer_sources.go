package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

var (
	errSourceNotReady = errors.New("the host has no copy, or does not watch the store")
	errSourceBehind   = errors.New("the host's copy is older than this host's")
)

// storeSource is the source of an informer that watches the store.
const storeSource = "store"

// currentSource returns the address of the followed host, or "store".
func (f *Informer) currentSource() string {
	if s, ok := f.source.Load().(string); ok {
		return s
	}
	return ""
}

// read follows the next source, or lists and watches the store if this host watches it or no source can be followed. It
// returns when that fails, or the objects must be read again.
func (f *Informer) read(ctx context.Context) {
	sources := f.sources()
	if f.nextSource >= len(sources) {
		f.nextSource = 0
		f.listAndWatch(ctx)
		return
	}
	source, followedAt := sources[f.nextSource], time.Now()
	err := f.follow(ctx, source)
	f.nextSource++
	switch {
	case err == nil || ctx.Err() != nil:
	case time.Since(f.startedAt) < f.StartupPatience:
		sleep(ctx, sourceRetryDelay)
		f.nextSource %= len(sources)
	default:
		logging.Emit(logging.FollowFailed, logging.Fields{"kind": f.Kind, "peer": source, "error": err})
	}
	if time.Since(followedAt) > stableFollowTime {
		f.nextSource = 0
	}
}

// copyFrom takes over the copy of a peer that has newer objects.
func (f *Informer) copyFrom(ctx context.Context, peer string) {
	answer, err := f.request(ctx, peer, followRequest{Kind: f.Kind})
	if err == nil && !f.isCurrent(answer) {
		err = errSourceBehind
	}
	if err != nil {
		logging.Emit(logging.FollowFailed, logging.Fields{"kind": f.Kind, "peer": peer, "error": err})
		return
	}
	f.applyAnswer(answer)
	f.resumeAt = answer.ListRevision
}

// request sends one request to a peer and returns its whole answer.
func (f *Informer) request(ctx context.Context, peer string, r followRequest) (followAnswer, error) {
	var answer followAnswer
	err := f.Follow(ctx, peer, r, func(part followAnswer) {
		part.Objects = append(answer.Objects, part.Objects...)
		answer = part
	})
	if err == nil && answer.NotReady {
		err = errSourceNotReady
	}
	return answer, err
}

func (f *Informer) sources() []string {
	if f.Sources == nil {
		return nil
	}
	return f.Sources()
}

// isCurrent reports whether a peer's copy has all that this host has observed: an older one would bring back what was
// deleted since.
func (f *Informer) isCurrent(answer followAnswer) bool {
	known := f.NewestRevision()
	return answer.NewestRevision >= known || answer.ListRevision >= known
}

// follow applies the changes of another host's copy until that fails, this host is to read from another source, or the
// objects must be listed again. It returns an error only if it fails.
func (f *Informer) follow(ctx context.Context, address string) error {
	f.source.Store(address)
	request := followRequest{Kind: f.Kind, MaxWait: maxFollowWait}
	if f.HasSynced() {
		request.Digest = f.feed.currentDigest()
	}
	patience := time.Now().Add(f.maxLag())
	for ctx.Err() == nil {
		if request.Epoch != "" && !slices.Contains(f.sources(), address) {
			return nil
		}
		answer, err := f.request(ctx, address, request)
		switch {
		case err != nil:
			return err
		case answer.Full && !f.isCurrent(answer) && time.Now().Before(patience):
			sleep(ctx, sourceRetryDelay)
			continue
		case answer.Full && !f.isCurrent(answer):
			return errSourceBehind
		}
		f.applyAnswer(answer)
		request.Epoch, request.After = answer.Epoch, answer.Sequence
	}
	return nil
}

// CheckSource ends a watch or a request to a followed host that waits for changes, if this host is to read from another
// source now.
func (f *Informer) CheckSource() {
	sources := f.sources()
	switch source := f.currentSource(); {
	case source == storeSource && f.watching.Load() && (len(sources) > 0 || f.ShouldPoll() && !f.watchesBetweenPolls()):
		f.Relist()
	case source != storeSource && source != "" && !slices.Contains(sources, source):
		f.Relist()
	}
}

func (f *Informer) applyAnswer(answer followAnswer) {
	f.setLastResponse(time.Now())
	f.recordRecovery()
	if answer.AfterOutage && !f.RecentlyRecovered() {
		f.recoveredAtNanos.Store(time.Now().Add(-max(answer.SinceOutage, 0)).UnixNano())
		f.outageBeganNanos.Store(0) // not observed by this host
	}
	if answer.Full {
		f.replace(f.feed.withoutDeleted(answer.Objects), answer.ListRevision, answer.AfterOutage)
		return
	}
	changes := make([]objectapi.Change, 0, len(answer.Objects)+len(answer.Deleted))
	for _, name := range answer.Deleted {
		changes = append(changes, objectapi.Change{Object: objectapi.Object{Name: name}, Deleted: true})
	}
	for _, o := range answer.Objects {
		changes = append(changes, objectapi.Change{Object: o})
	}
	f.apply(changes)
	f.raiseListRevision(answer.ListRevision)
}
