package membership

import (
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Settings are the times of the membership. The zero value of a field takes its default.
type Settings struct {
	LeaseDuration     time.Duration `json:"Lease" msgpack:"l"`     // 6 s
	RenewInterval     time.Duration `json:"Renew" msgpack:"r"`     // 2 s
	HeartbeatInterval time.Duration `json:"Heartbeat" msgpack:"h"` // 500 ms
	SuspectAfter      time.Duration `msgpack:"s"`                  // 2 s
	SuccessorDelay    time.Duration `json:"RankWait" msgpack:"w"`  // 1 s for each rank of a candidate heir
}

// WithDefaults fills in the fields that are 0.
func (s Settings) WithDefaults() Settings {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.LeaseDuration, 6 * time.Second},
		{&s.RenewInterval, 2 * time.Second},
		{&s.HeartbeatInterval, 500 * time.Millisecond},
		{&s.SuspectAfter, 2 * time.Second},
		{&s.SuccessorDelay, time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return s
}

// Started begins the life of an incarnation, after its lease was written.
type Started struct {
	Settings Settings          `msgpack:"s"`
	Self     Member            `msgpack:"m"`
	Lease    Lease             `msgpack:"l"`
	Version  objectapi.Version `msgpack:"v"`
	// SentAt is when the write of the lease was sent.
	SentAt  clock.Millis `msgpack:"t"`
	Members []Member     `msgpack:"o"`
	// WriteIDPrefix begins all tags of this process and of no other.
	WriteIDPrefix string `json:"TagPrefix" msgpack:"p"`
}

// Ticked lets time pass. Adapters publish it about every 100 ms.
type Ticked struct {
	// Random is a random number that spreads the scans of the hosts.
	Random uint32 `json:"Draw" msgpack:"d"`
}

// HeartbeatReceived is a heartbeat or an answer to one.
type HeartbeatReceived struct {
	Heartbeat Heartbeat `json:"Beat" msgpack:"b"`
}

// Heartbeat is what a host says of itself to its finger peers.
type Heartbeat struct {
	Host        ids.Host `msgpack:"h"`
	Incarnation uint64   `msgpack:"i"`
	// LeaseVersion is the version of the sender's last renewal. The receiver counts it as an observation of
	// the lease, so that a takeover's wait for the lease starts at the last heartbeat and not at the
	// suspicion.
	LeaseVersion     objectapi.Version `msgpack:"l"`
	MembersDigest    uint64            `json:"Members" msgpack:"m"`   // digest of the member list
	SuspectsReceiver bool              `json:"Suspected" msgpack:"s"` // the sender suspects the receiver
	TicketNumber     uint64            `json:"Ticket" msgpack:"t"`
	LeavingDigest    uint64            `json:"Leaving" msgpack:"b"` // digest of the leaving backend servers
}

// FrameReceived says that some frame of a host arrived.
type FrameReceived struct {
	Host ids.Host `msgpack:"h"`
}

// PeerDisconnected says that the link to an address was lost.
type PeerDisconnected struct {
	Address string `msgpack:"a"`
}

// RecordsReceived brings member records of a peer.
type RecordsReceived struct {
	Records []Member `msgpack:"r"`
}

// Suspicion says that a watcher has not heard an incarnation for SilentMS.
type Suspicion struct {
	Host         ids.Host          `msgpack:"h"`
	Incarnation  uint64            `msgpack:"i"`
	LeaseVersion objectapi.Version `msgpack:"l"`
	SilentMS     int64             `msgpack:"s"`
}

// SuspicionReceived brings a suspicion of a peer.
type SuspicionReceived struct {
	Suspicion Suspicion `msgpack:"s"`
}

// LeaseWritten says that a RenewLease succeeded.
type LeaseWritten struct {
	Lease   Lease             `msgpack:"l"`
	Version objectapi.Version `msgpack:"v"`
	SentAt  clock.Millis      `msgpack:"t"`
}

// LeaseWriteFailed says that the store did not take a RenewLease, or that its answer was lost.
type LeaseWriteFailed struct{}

// LeaseConflicted brings the lease as it is after a version conflict of a RenewLease.
type LeaseConflicted struct {
	Current LeaseObject `json:"Found" msgpack:"f"`
}

// LeaseObject is a lease as the store has it; Version 0 means that it does not exist.
type LeaseObject struct {
	Host    ids.Host          `msgpack:"h"`
	Lease   Lease             `msgpack:"l"`
	Version objectapi.Version `msgpack:"v"`
}

// LeaseRead answers ReadLease.
type LeaseRead struct {
	Object LeaseObject  `msgpack:"o"`
	SentAt clock.Millis `msgpack:"t"`
	Failed bool         `msgpack:"f"`
}

// LeasesListed answers ListLeases.
type LeasesListed struct {
	Objects []LeaseObject `msgpack:"o"`
	SentAt  clock.Millis  `msgpack:"t"`
	Failed  bool          `msgpack:"f"`
}

// ClaimLeaseCompleted answers ClaimLease. A claim whose answer was lost is read back before it is reported.
type ClaimLeaseCompleted struct {
	Host    ids.Host    `msgpack:"h"`
	Journal ids.Journal `msgpack:"j"`
	Won     bool        `msgpack:"w"`
	// PriorAdoptions lists the journals that the dead incarnation had adopted.
	PriorAdoptions []ids.Journal `json:"Inherited" msgpack:"i"`
}

// JournalAdopted answers AdoptJournal.
type JournalAdopted struct {
	Journal ids.Journal `msgpack:"j"`
	Failed  bool        `msgpack:"f"`
}

// AdoptionMarked answers MarkAdopted.
type AdoptionMarked struct {
	Journal        ids.Journal   `msgpack:"j"`
	PriorAdoptions []ids.Journal `json:"Inherited" msgpack:"i"`
}

// DrainRequested begins a graceful shutdown.
type DrainRequested struct{}

// HandoverRequested gives the journal up.
type HandoverRequested struct{}

// AdoptionRequested says that a host wants this one to adopt its journal.
type AdoptionRequested struct {
	Host ids.Host `msgpack:"h"`
}

// SendHeartbeat sends a heartbeat; the adapter adds Ticket and Leaving.
type SendHeartbeat struct {
	Host      ids.Host
	Address   string
	Heartbeat Heartbeat `json:"Beat"`
}

// ExchangeRecords compares the member lists with a peer and exchanges newer records.
type ExchangeRecords struct{ Address string }

// SendRecords sends member records to a peer.
type SendRecords struct {
	Address string
	Records []Member
}

// SendSuspicion sends a suspicion to a peer.
type SendSuspicion struct {
	Address   string
	Suspicion Suspicion
}

// RenewLease writes the host's own lease.
type RenewLease struct {
	Lease           Lease
	ExpectedVersion objectapi.Version `json:"Expected"`
}

// ReadLease reads the lease of a host.
type ReadLease struct{ Host ids.Host }

// ListLeases lists all leases.
type ListLeases struct{}

// ClaimLease writes a claim of a journal into the lease of its host.
type ClaimLease struct {
	Host            ids.Host
	Journal         ids.Journal
	Lease           Lease
	ExpectedVersion objectapi.Version `json:"Expected"`
}

// AdoptJournal has the home take over the programs of a journal.
type AdoptJournal struct{ Journal ids.Journal }

// MarkAdopted finishes the claim in the lease of the journal's host, after the own member record, which
// lists the adoption, was written.
type MarkAdopted struct {
	Host      ids.Host
	Journal   ids.Journal
	Successor ids.Journal `json:"Heir"`
	Self      Member
}

// WriteMember writes a member record unless the store has a newer one.
type WriteMember struct{ Member Member }

// RequestAdoption asks a peer to adopt this host's journal.
type RequestAdoption struct{ Address string }

// ViewChanged gives the whole member list, sorted by name.
type ViewChanged struct {
	Members   []Member
	Suspected []ids.Host
}

// LeaseChanged says until when the own lease is valid; 0 if it is not.
type LeaseChanged struct {
	ValidUntil clock.Millis
	Version    objectapi.Version
}

// StoreAvailabilityChanged says whether the own renewals reach the store.
type StoreAvailabilityChanged struct{ Reachable bool }

// HandoverCompleted says that an heir has finished the adoption of this host's journal.
type HandoverCompleted struct {
	Successor ids.Journal `json:"Heir"`
}

// Fenced says that this incarnation lost its lease to another host.
type Fenced struct{ Reason string }

// Kinds of the messages.
const (
	KindStarted             event.Kind = "membership.started"
	KindTicked              event.Kind = "membership.ticked"
	KindHeartbeatReceived   event.Kind = "membership.heard"
	KindFrameReceived       event.Kind = "membership.frame_heard"
	KindPeerDisconnected    event.Kind = "membership.peer_down"
	KindRecordsReceived     event.Kind = "membership.records_received"
	KindSuspicionReceived   event.Kind = "membership.suspicion_received"
	KindLeaseWritten        event.Kind = "membership.lease_written"
	KindLeaseWriteFailed    event.Kind = "membership.lease_write_failed"
	KindLeaseConflicted     event.Kind = "membership.lease_conflicted"
	KindLeaseRead           event.Kind = "membership.lease_read"
	KindLeasesListed        event.Kind = "membership.leases_listed"
	KindClaimLeaseCompleted event.Kind = "membership.claim_finished"
	KindJournalAdopted      event.Kind = "membership.journal_adopted"
	KindAdoptionMarked      event.Kind = "membership.adoption_marked"
	KindDrainRequested      event.Kind = "membership.drain_requested"
	KindHandoverRequested   event.Kind = "membership.handover_requested"
	KindAdoptionRequested   event.Kind = "membership.handover_asked"

	KindSendHeartbeat            event.Kind = "membership.send_heartbeat"
	KindExchangeRecords          event.Kind = "membership.exchange_records"
	KindSendRecords              event.Kind = "membership.send_records"
	KindSendSuspicion            event.Kind = "membership.send_suspicion"
	KindRenewLease               event.Kind = "membership.renew_lease"
	KindReadLease                event.Kind = "membership.read_lease"
	KindListLeases               event.Kind = "membership.list_leases"
	KindClaimLease               event.Kind = "membership.claim_lease"
	KindAdoptJournal             event.Kind = "membership.adopt_journal"
	KindMarkAdopted              event.Kind = "membership.mark_adopted"
	KindWriteMember              event.Kind = "membership.write_member"
	KindRequestAdoption          event.Kind = "membership.ask_heir"
	KindViewChanged              event.Kind = "membership.view_changed"
	KindLeaseChanged             event.Kind = "membership.lease_changed"
	KindStoreAvailabilityChanged event.Kind = "membership.store_changed"
	KindHandoverCompleted        event.Kind = "membership.handed_over"
	KindFenced                   event.Kind = "membership.depose"
)

func (Started) EventKind() event.Kind             { return KindStarted }
func (Ticked) EventKind() event.Kind              { return KindTicked }
func (HeartbeatReceived) EventKind() event.Kind   { return KindHeartbeatReceived }
func (FrameReceived) EventKind() event.Kind       { return KindFrameReceived }
func (PeerDisconnected) EventKind() event.Kind    { return KindPeerDisconnected }
func (RecordsReceived) EventKind() event.Kind     { return KindRecordsReceived }
func (SuspicionReceived) EventKind() event.Kind   { return KindSuspicionReceived }
func (LeaseWritten) EventKind() event.Kind        { return KindLeaseWritten }
func (LeaseWriteFailed) EventKind() event.Kind    { return KindLeaseWriteFailed }
func (LeaseConflicted) EventKind() event.Kind     { return KindLeaseConflicted }
func (LeaseRead) EventKind() event.Kind           { return KindLeaseRead }
func (LeasesListed) EventKind() event.Kind        { return KindLeasesListed }
func (ClaimLeaseCompleted) EventKind() event.Kind { return KindClaimLeaseCompleted }
func (JournalAdopted) EventKind() event.Kind      { return KindJournalAdopted }
func (AdoptionMarked) EventKind() event.Kind      { return KindAdoptionMarked }
func (DrainRequested) EventKind() event.Kind      { return KindDrainRequested }
func (HandoverRequested) EventKind() event.Kind   { return KindHandoverRequested }
func (AdoptionRequested) EventKind() event.Kind   { return KindAdoptionRequested }

func (SendHeartbeat) EffectKind() event.Kind            { return KindSendHeartbeat }
func (ExchangeRecords) EffectKind() event.Kind          { return KindExchangeRecords }
func (SendRecords) EffectKind() event.Kind              { return KindSendRecords }
func (SendSuspicion) EffectKind() event.Kind            { return KindSendSuspicion }
func (RenewLease) EffectKind() event.Kind               { return KindRenewLease }
func (ReadLease) EffectKind() event.Kind                { return KindReadLease }
func (ListLeases) EffectKind() event.Kind               { return KindListLeases }
func (ClaimLease) EffectKind() event.Kind               { return KindClaimLease }
func (AdoptJournal) EffectKind() event.Kind             { return KindAdoptJournal }
func (MarkAdopted) EffectKind() event.Kind              { return KindMarkAdopted }
func (WriteMember) EffectKind() event.Kind              { return KindWriteMember }
func (RequestAdoption) EffectKind() event.Kind          { return KindRequestAdoption }
func (ViewChanged) EffectKind() event.Kind              { return KindViewChanged }
func (LeaseChanged) EffectKind() event.Kind             { return KindLeaseChanged }
func (StoreAvailabilityChanged) EffectKind() event.Kind { return KindStoreAvailabilityChanged }
func (HandoverCompleted) EffectKind() event.Kind        { return KindHandoverCompleted }
func (Fenced) EffectKind() event.Kind                   { return KindFenced }

func init() {
	for _, e := range []event.Event{
		Started{},
		Ticked{},
		HeartbeatReceived{},
		FrameReceived{},
		PeerDisconnected{},
		RecordsReceived{},
		SuspicionReceived{},
		LeaseWritten{},
		LeaseWriteFailed{},
		LeaseConflicted{},
		LeaseRead{},
		LeasesListed{},
		ClaimLeaseCompleted{},
		JournalAdopted{},
		AdoptionMarked{},
		DrainRequested{},
		HandoverRequested{},
		AdoptionRequested{},
	} {
		event.Register(e)
	}
}
