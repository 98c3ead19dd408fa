package ingress

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/service/verdicts"
)

// Guards against a host that starts while the store is unavailable and never serves, and against one that serves before it
// has the verdicts of the host from which it takes them.
func TestStartingHostTakesTheVerdictsOfAnotherOne(t *testing.T) {
	newSection := func() verdictSection {
		records := newPoisonRecords(time.Now)
		always := func() bool { return true }
		keeper := verdicts.NewKeeper(objectapi.NewMemoryStore(), verdictTable{records}, func(string) bool { return false }, always)
		return verdictSection{records: records, keeper: keeper}
	}
	former, starting := newSection(), newSection()
	for _, server := range []string{"a", "b"} {
		end := poison.End{Lifetime: poison.Lifetime{Server: server}, Began: true}
		former.records.table.RecordEnd(time.Now(), poison.Chain{{1}}, 7, end)
	}
	if former.Encode() != nil {
		t.Error("a host that has not read the verdicts says that it has them")
	}
	former.keeper.SetKnown()
	section := former.Encode()
	if err := starting.Merge(HeartbeatOrigin{Host: "a-1"}, section); err != nil || starting.keeper.Known() {
		t.Errorf("has the verdicts without the records: %v, error %v", starting.keeper.Known(), err)
	}
	starting.records.merge(former.records.all(), "a-1")
	if err := starting.Merge(HeartbeatOrigin{Host: "a-1"}, section); err != nil || !starting.keeper.Known() {
		t.Errorf("has the verdicts with the records: %v, error %v", starting.keeper.Known(), err)
	}
	if starting.Merge(HeartbeatOrigin{Host: "a-1"}, section[1:]) == nil {
		t.Error("merged a short section")
	}
}

// Guards against a host that never learns of a quarantine, because the records of many bystanders are newer.
func TestHostsAreToldOfQuarantinesFirst(t *testing.T) {
	records := newPoisonRecords(time.Now)
	start := time.Now().Add(-time.Minute)
	for _, server := range []string{"a", "b"} {
		records.table.RecordEnd(start, poison.Chain{{1}}, 7, poison.End{Lifetime: poison.Lifetime{Server: server}, Began: true})
	}
	for i := range maxSentRecords {
		records.table.RecordEnd(time.Now(), poison.Chain{{2, byte(i), byte(i >> 8)}}, 7, poison.End{Lifetime: poison.Lifetime{Server: "c"}})
	}
	if sent := records.all(); len(sent) != maxSentRecords || sent[0].Fingerprint != (poison.Fingerprint{1}) {
		t.Errorf("%d records, the first one of request %s", len(sent), sent[0].Fingerprint)
	}
}
