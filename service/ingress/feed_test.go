package ingress

import (
	"testing"
	"time"
)

// Guards against a deleted server that is kept for two seconds more, because a host that reads through a peer takes the
// deletion for one that lapsed in an outage of the store.
func TestOnlyTimeWithoutAnyWordOfTheStoreIsAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		failed, heard time.Duration // how long ago
		want          bool
	}{
		"reads through a peer":         {failed: 10 * time.Second, heard: 500 * time.Millisecond, want: false},
		"nobody has the store":         {failed: 10 * time.Second, heard: 10 * time.Second, want: true},
		"failed a moment ago":          {failed: 100 * time.Millisecond, heard: 20 * time.Second, want: false},
		"short time without the store": {failed: time.Second, heard: time.Second, want: false},
	} {
		now := time.Now()
		f := &Feed{failedSince: now.Add(-c.failed), heard: now.Add(-c.heard)}
		if got := f.outage(); got != c.want {
			t.Errorf("%s: outage is %v", name, got)
		}
	}
}
