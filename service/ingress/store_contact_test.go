package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// silentStore answers one list and one watch, which delivers the deletion of an object.
type silentStore struct {
	objectapi.Store
	watched bool
}

func (s *silentStore) List(context.Context, string, string) ([]objectapi.Object, objectapi.Version, error) {
	return []objectapi.Object{versioned("i-1", 1)}, 1, nil
}

func (s *silentStore) Watch(ctx context.Context, _, _ string, after objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	if s.watched {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	s.watched = true
	return []objectapi.Change{{Object: objectapi.Object{Name: "i-1", Version: 2}, Deleted: true}}, 2, nil
}

// Guards against the loss of all servers at once: a watch that waited through a silent outage of the store delivers the
// deletions of the entries that lapsed in it, and no call has failed. Guards against the opposite too: a server that leaves
// in normal operation must not stay in use.
func TestDeletionAfterASilentOutageIsRecognized(t *testing.T) {
	for name, c := range map[string]struct {
		answeredAgo, peerAnsweredAgo time.Duration
		want                         bool
	}{
		"nobody had an answer for 3 s":          {answeredAgo: 3 * time.Second, want: true},
		"this host had an answer a moment ago":  {answeredAgo: time.Second, want: false},
		"a peer listed until a moment ago":      {answeredAgo: time.Minute, peerAnsweredAgo: time.Second, want: false},
		"a peer listed until the outage":        {answeredAgo: time.Minute, peerAnsweredAgo: 3 * time.Second, want: true},
		"the last outage was some time ago":     {answeredAgo: 0, want: false},
		"a peer listed, before this host began": {answeredAgo: time.Second, peerAnsweredAgo: time.Second, want: false},
	} {
		now := time.Now()
		contact := &storeContact{}
		contact.observe(now.Add(-time.Hour), now.Add(-c.answeredAgo))
		if c.peerAnsweredAgo > 0 {
			contact.observe(now.Add(-time.Hour), now.Add(-c.peerAnsweredAgo))
		}
		f := newInformer("servers")
		f.Store, f.Contact, f.ShouldPoll = &contactStore{Store: &silentStore{}, contact: contact}, contact, func() bool { return false }
		f.source.Store(storeSource)
		listedAfterOutage, deletedAfterOutage := make(chan bool, 1), make(chan bool, 1)
		f.Replace = func(_ []objectapi.Object, afterOutage bool) { listedAfterOutage <- afterOutage }
		f.Apply = func(objectapi.Change) { deletedAfterOutage <- f.RecentlyRecovered() }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		if got := <-listedAfterOutage; got != c.want {
			t.Errorf("%s: list after an outage: %v, want %v", name, got, c.want)
		}
		if got := <-deletedAfterOutage; got != c.want {
			t.Errorf("%s: deletion after an outage: %v, want %v", name, got, c.want)
		}
		cancel()
		<-done
	}
}

// Guards against an outage that counts although only this host was cut off, and against one that is forgotten because a
// host began to list the store in it or after it.
func TestOutageEndsWithTheFirstAnswerAndIsAnnulledByPeers(t *testing.T) {
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		observe func(contact *storeContact)
		want    bool
	}{
		"another host takes over the lists":  {observe: func(c *storeContact) { c.observe(at(1.5), at(1.5)); c.observe(at(3), at(3)) }, want: false},
		"silence":                            {observe: func(c *storeContact) { c.observe(at(3), at(3)) }, want: true},
		"a peer listed all the time":         {observe: func(c *storeContact) { c.observe(at(3), at(3)); c.observe(at(-60), at(3.1)) }, want: false},
		"a peer began in the outage":         {observe: func(c *storeContact) { c.observe(at(3), at(3)); c.observe(at(2), at(3.1)) }, want: true},
		"a late report of a peer":            {observe: func(c *storeContact) { c.observe(at(3), at(3)); c.observe(at(-60), at(0.5)) }, want: true},
		"answers go on after the outage":     {observe: func(c *storeContact) { c.observe(at(3), at(3)); c.observe(at(4), at(4)) }, want: true},
		"a report that says less than known": {observe: func(c *storeContact) { c.observe(at(1), at(1)); c.observe(at(-60), at(0)); c.observe(at(2.9), at(2.9)) }, want: false},
	} {
		contact := &storeContact{}
		contact.observe(at(-60), at(0))
		c.observe(contact)
		if _, _, got := contact.recoveredWithin(at(4.5), outageDeleteWindow); got != c.want {
			t.Errorf("%s: recovered %v, want %v", name, got, c.want)
		}
		if _, _, got := contact.recoveredWithin(at(8), outageDeleteWindow); got {
			t.Errorf("%s: recovered 5 s after the outage", name)
		}
	}
}

// Guards against a host that takes the time in which it was suspended for an outage of the store, and so makes the hosts that
// follow it send requests to servers that have left. Guards against the opposite too: an outage beside a pause is one.
func TestPauseOfTheProcessIsNoOutage(t *testing.T) {
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		ticks []float64
		want  bool
	}{
		"suspended":                      {ticks: []float64{-4, -3.5, -3.2}, want: false},
		"suspended, a tick came first":   {ticks: []float64{-4, -3.5, -3.2, 0}, want: false},
		"ran all the time":               {ticks: []float64{-4, -3.5, -3, -2.5, -2, -1.5, -1, -0.5}, want: true},
		"a short pause in the silence":   {ticks: []float64{-4, -3.5, -3, -2.5, -1.3, -0.8, -0.3}, want: true},
		"a pause long before":            {ticks: []float64{-60, -4, -3.5, -3, -2.5, -2, -1.5, -1, -0.5}, want: true},
		"no ticks, as in other packages": {want: true},
	} {
		contact := &storeContact{}
		contact.observe(at(-90), at(-3.3))
		for _, tick := range c.ticks {
			contact.tick(at(tick))
		}
		contact.observe(now, now)
		if _, _, got := contact.recoveredWithin(at(0.5), outageDeleteWindow); got != c.want {
			t.Errorf("%s: the store has recovered: %v, want %v", name, got, c.want)
		}
		f := &Informer{Contact: contact, failedSince: at(-3.2), lastResponse: at(-3.3)}
		if got := f.recoveredFromOutage(); got != c.want {
			t.Errorf("%s: a call that failed before and succeeds now shows an outage: %v, want %v", name, got, c.want)
		}
		if got := contact.answeredSince(now); got.Before(now) {
			t.Errorf("%s: the host vouches for %v in which it had no answer", name, now.Sub(got))
		}
	}
}

// Guards against a cut of the host that lists the servers that counts as an outage of the store, because the host that takes
// the lists over does not vouch for the time before.
func TestHostThatTakesOverTheListsVouchesForTheOneBefore(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		lastListAgo time.Duration
		want        time.Duration
	}{
		"the lists went on":            {lastListAgo: 1500 * time.Millisecond, want: time.Minute},
		"nobody listed for some time":  {lastListAgo: 3 * time.Second, want: 0},
		"no other host has listed yet": {want: 0},
	} {
		contact := &storeContact{}
		if c.lastListAgo > 0 {
			contact.observe(now.Add(-time.Minute), now.Add(-c.lastListAgo)) // by the heartbeats of the host that listed
		}
		contact.observe(now, now)
		f := &Informer{PollInterval: time.Second, Contact: contact}
		f.recordPoll(now)
		if got := f.PolledFor(now); got != c.want {
			t.Errorf("%s: vouches for %v, want %v", name, got, c.want)
		}
	}
}
