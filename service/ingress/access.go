package ingress

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/access"
	"github.com/hyssopreel/hyssopreel/core/routing"
)

// Access decides by their API keys which callers' requests may run. It is asked only where the configuration has teams.
type Access interface {
	// Authorize returns the team that holds the key; key is nil for a request without one. access.ErrUnauthorized refuses
	// the request permanently; after access.ErrNotConfirmed the caller may try again.
	Authorize(key *routing.KeyID) (*routing.Team, error)
}

// tableAccess implements Access for an ingress that is the only host: its configuration is always the newest one.
type tableAccess struct{ ingress *Ingress }

// Authorize implements Access.
func (a tableAccess) Authorize(key *routing.KeyID) (*routing.Team, error) {
	return access.Policy{}.Authorize(a.ingress.table.Load(), key, 0)
}

// authorize sets the team of the request, or refuses it.
func (x *exchange) authorize() *failure {
	if !x.table.HasTeams() {
		return nil
	}
	if x.route.Anonymous {
		if x.metadata.Key != nil {
			x.setTeam(x.table.TeamOfKey(*x.metadata.Key))
		}
		return nil
	}
	team, err := x.ingress.access.Authorize(x.metadata.Key)
	if err != nil {
		return x.accessFailure(err)
	}
	x.setTeam(team)
	return nil
}

func (x *exchange) setTeam(team *routing.Team) {
	if team == nil {
		return
	}
	x.team = team
	// A team may change its keys, which must not make another caller of it.
	x.metadata.Caller = team.Name
}

// checkAccess authorizes the request again before it is sent to a server: it may have waited, and its key may have been
// revoked in the meantime.
func (x *exchange) checkAccess() error {
	if x.team == nil || x.route.Anonymous {
		return nil
	}
	_, err := x.ingress.access.Authorize(x.metadata.Key)
	return err
}

// accessFailure returns the failure of a request that was refused by Access with err; nil for another error.
func (x *exchange) accessFailure(err error) *failure {
	switch {
	case errors.Is(err, access.ErrUnauthorized):
		return &failure{status: http.StatusUnauthorized, reason: "unauthorized", cause: err}
	case errors.Is(err, access.ErrNotConfirmed):
		return &failure{status: http.StatusServiceUnavailable, reason: "configuration not confirmed", retryAfter: x.ingress.retryAfter(""), cause: err}
	}
	return nil
}

// priority returns the rank of the request among those that wait for a server; 0 is the most urgent.
func (x *exchange) priority() int {
	if x.team != nil && x.team.HasPriority {
		return x.team.Priority
	}
	return x.route.Priority
}

// teamName returns the name of the caller's team; empty if the caller has none.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}
