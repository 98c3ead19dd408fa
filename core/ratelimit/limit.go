// Package ratelimit holds the rate limits that backend servers name, and grants each server's requests to all hosts
// together. It is pure: times are arguments.
package ratelimit

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxPerSecond is the highest limit that counts as one, in requests per second.
const MaxPerSecond = 1e6

// Parse parses a limit in requests per second. limited is false if the limit is higher than MaxPerSecond.
func Parse(text string) (perSecond float64, limited bool, err error) {
	perSecond, err = strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || !(perSecond >= 0) { // NaN is not
		return 0, false, errors.Newf("rate limit %q is not a number of requests per second", text)
	}
	return perSecond, perSecond <= MaxPerSecond, nil
}

// Limit is what a host knows of the rate limit of one server. The zero value is a server that has not named any.
type Limit struct {
	Limited   bool
	PerSecond float64
	// ObservedAt is when the newest response on which this is based arrived; zero if there is none.
	ObservedAt time.Time
}

// Observe applies a response that arrived at now for a request sent at sentAt. It reports whether the limit changed. A
// response without a limit ends one only if the request was sent after the limit was last named: responses may
// overtake each other.
func (l *Limit) Observe(sentAt, now time.Time, limited bool, perSecond float64) bool {
	if !limited && (!l.Limited || !sentAt.After(l.ObservedAt)) {
		return false
	}
	return l.set(Limit{Limited: limited, PerSecond: perSecond, ObservedAt: now})
}

// minRefreshInterval is the least time by which another host's observation of the same limit must be newer. Without it,
// the time that messages take would make an observation newer each time that hosts exchange it.
const minRefreshInterval = time.Second

// Merge applies what another host knows, and reports whether the limit changed. The newer observation counts.
func (l *Limit) Merge(other Limit) bool {
	newerBy := other.ObservedAt.Sub(l.ObservedAt)
	same := l.Limited == other.Limited && l.PerSecond == other.PerSecond
	if newerBy <= 0 || same && newerBy < minRefreshInterval {
		return false
	}
	return l.set(other)
}

func (l *Limit) set(next Limit) bool {
	if !next.Limited {
		next.PerSecond = 0
	}
	changed := l.Limited != next.Limited || l.PerSecond != next.PerSecond
	*l = next
	return changed
}
