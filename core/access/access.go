// Package access decides by API keys which callers' requests may run, and tracks how recently a host's configuration was
// known to be the newest one. It is pure: times are arguments.
package access

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/routing"
)

var (
	// ErrUnauthorized means that no configuration in force holds the key of the request.
	ErrUnauthorized = errors.New("no team holds the API key of the request")
	// ErrNotConfirmed means that the host does not know whether its configuration is still the newest one.
	ErrNotConfirmed = errors.New("the configuration was not confirmed lately")
)

// Policy bounds the age of a configuration by which requests are decided. A bound of 0 does not apply.
type Policy struct {
	// MaxAge is the age up to which a key of the configuration is accepted: it may have been revoked since.
	MaxAge time.Duration
	// MaxAgeToRefuse is the age up to which an unknown key is refused for good: it may have been added since.
	MaxAgeToRefuse time.Duration
}

// Authorize returns the team that holds the key, or an error that is ErrUnauthorized or ErrNotConfirmed. key is nil for a
// request without one; both are nil if the table has no teams. age is the time since the table was known to be the newest one.
func (p Policy) Authorize(table *routing.Table, key *routing.KeyID, age time.Duration) (*routing.Team, error) {
	if !table.HasTeams() {
		return nil, nil
	}
	var team *routing.Team
	if key != nil {
		team = table.TeamOfKey(*key)
	}
	switch {
	case team == nil && p.MaxAgeToRefuse > 0 && age > p.MaxAgeToRefuse:
		return nil, errors.Wrapf(ErrNotConfirmed, "unknown key, age %v", age)
	case team == nil:
		return nil, ErrUnauthorized
	case p.MaxAge > 0 && age > p.MaxAge:
		return nil, errors.Wrapf(ErrNotConfirmed, "age %v", age)
	}
	return team, nil
}
