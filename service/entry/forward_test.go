package entry

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/service/membership"
)

// takeoverView is the member list of a host that learns only after readyAt which member adopted the journal.
type takeoverView struct {
	membership.View
	adopter membership.Member
	readyAt time.Time
}

func (v takeoverView) Members() []membership.Member {
	return []membership.Member{{Name: "c", Adopted: []ids.Journal{"a.1"}}}
}

func (v takeoverView) HomeOf(ids.Journal) (membership.Member, bool) {
	return v.adopter, !time.Now().Before(v.readyAt)
}

// Guards against refusing a request whose program was just taken over, because this host has not heard of it yet.
func TestRequestWaitsForTheRecordOfTheAdopter(t *testing.T) {
	request := homeRequest{Op: opHistory, Program: "a.1-1"}
	for _, test := range []struct {
		name  string
		delay time.Duration
		found bool
	}{
		{"record arrives within homeWait", homeWait / 3, true},
		{"record arrives later", time.Minute, false},
	} {
		s := &Server{opts: Options{View: takeoverView{adopter: membership.Member{Name: "c"}, readyAt: time.Now().Add(test.delay)}}}
		home, ferr := s.awaitHome(t.Context(), request)
		switch {
		case test.found && (ferr != nil || home.Name != "c"):
			t.Errorf("%s: home %q, error %v", test.name, home.Name, ferr)
		case !test.found && (ferr == nil || ferr.Code != fault.CodePeerUnreachable || ferr.Outcome != fault.OutcomeNotRun):
			t.Errorf("%s: error %v, want not run", test.name, ferr)
		}
	}
}
