package membership

import (
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Settings are the durations of the membership. A field that is 0 takes the default beside it.
type Settings struct {
	LeaseDuration     time.Duration `json:"Lease" msgpack:"l"`        // 6 s
	RenewInterval     time.Duration `json:"Renew" msgpack:"r"`        // 2 s
	HeartbeatInterval time.Duration `json:"Heartbeat" msgpack:"h"`    // 500 ms
	SuspicionTimeout  time.Duration `json:"SuspectAfter" msgpack:"s"` // 2 s
	SuccessorDelay    time.Duration `json:"RankWait" msgpack:"w"`     // 1 s for each rank of a candidate successor
}

// WithDefaults returns the settings with the default for each field that is 0.
func (s Settings) WithDefaults() Settings {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.LeaseDuration, 6 * time.Second},
		{&s.RenewInterval, 2 * time.Second},
		{&s.HeartbeatInterval, 500 * time.Millisecond},
		{&s.SuspicionTimeout, 2 * time.Second},
		{&s.SuccessorDelay, time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return s
}

// Started starts an incarnation, whose lease has been written.
type Started struct {
	Settings Settings          `msgpack:"s"`
	Self     Member            `msgpack:"m"`
	Lease    Lease             `msgpack:"l"`
	Version  objectapi.Version `msgpack:"v"`
	// SentAt is when the write of the lease was sent.
	SentAt  clock.Millis `msgpack:"t"`
	Members []Member     `msgpack:"o"`
	// WriteIDPrefix is the prefix of all write IDs of this process; no other process uses it.
	WriteIDPrefix string `json:"TagPrefix" msgpack:"p"`
}

// Ticked triggers whatever is due. The adapter publishes it about every 100 ms.
type Ticked struct {
	// Random spreads the lease scans of the hosts over time.
	Random uint32 `json:"Draw" msgpack:"d"`
}

// HeartbeatReceived reports a heartbeat of a peer, or its response to one.
type HeartbeatReceived struct {
	Heartbeat Heartbeat `json:"Beat" msgpack:"b"`
}

// Heartbeat is the periodic message to the ring neighbors.
type Heartbeat struct {
	Host        ids.Host `msgpack:"h"`
	Incarnation uint64   `msgpack:"i"`
	// LeaseVersion is the version of the sender's last renewal. The receiver counts it as an observation of the
	// lease, so that a takeover waits for the lease to expire from the last heartbeat, not from the suspicion.
	LeaseVersion     objectapi.Version `msgpack:"l"`
	MembersDigest    uint64            `json:"Members" msgpack:"m"`   // digest of the member list
	SuspectsReceiver bool              `json:"Suspected" msgpack:"s"` // the sender suspects the receiver
	TicketNumber     uint64            `json:"Ticket" msgpack:"t"`
	LeavingDigest    uint64            `json:"Leaving" msgpack:"b"` // digest of the leaving backend servers
}

// FrameReceived reports that a frame of any kind arrived from a host.
type FrameReceived struct {
	Host ids.Host `msgpack:"h"`
}

// PeerDisconnected reports that the connection to a peer address was lost.
type PeerDisconnected struct {
	Address string `msgpack:"a"`
}

// RecordsReceived reports member records that a peer sent.
type RecordsReceived struct {
	Records []Member `msgpack:"r"`
}

// Suspicion reports that an incarnation is silent. SilentMS is the time in milliseconds since the sender observed
// LeaseVersion, or since the last contact if LeaseVersion is 0.
type Suspicion struct {
	Host         ids.Host          `msgpack:"h"`
	Incarnation  uint64            `msgpack:"i"`
	LeaseVersion objectapi.Version `msgpack:"l"`
	SilentMS     int64             `msgpack:"s"`
}

// SuspicionReceived reports a suspicion that a peer sent.
type SuspicionReceived struct {
	Suspicion Suspicion `msgpack:"s"`
}

// LeaseWritten reports that a RenewLease succeeded.
type LeaseWritten struct {
	Lease   Lease             `msgpack:"l"`
	Version objectapi.Version `msgpack:"v"`
	SentAt  clock.Millis      `msgpack:"t"`
}

// LeaseWriteFailed reports that a RenewLease failed, or that its response was lost.
type LeaseWriteFailed struct{}

// LeaseConflicted reports a version conflict of a RenewLease and the current lease.
type LeaseConflicted struct {
	Current LeaseObject `json:"Found" msgpack:"f"`
}

// LeaseObject is a stored lease; Version 0 means that it does not exist.
type LeaseObject struct {
	Host    ids.Host          `msgpack:"h"`
	Lease   Lease             `msgpack:"l"`
	Version objectapi.Version `msgpack:"v"`
}

// LeaseRead is the result of ReadLease.
type LeaseRead struct {
	Object LeaseObject  `msgpack:"o"`
	SentAt clock.Millis `msgpack:"t"`
	Failed bool         `msgpack:"f"`
}

// LeasesListed is the result of ListLeases.
type LeasesListed struct {
	Objects []LeaseObject `msgpack:"o"`
	SentAt  clock.Millis  `msgpack:"t"`
	Failed  bool          `msgpack:"f"`
}

// ClaimLeaseCompleted is the result of ClaimLease. The adapter reads the lease back if the response was lost.
type ClaimLeaseCompleted struct {
	Host    ids.Host    `msgpack:"h"`
	Journal ids.Journal `msgpack:"j"`
	Won     bool        `msgpack:"w"`
	// PriorAdoptions lists the journals that the dead incarnation had adopted.
	PriorAdoptions []ids.Journal `json:"Inherited" msgpack:"i"`
}

// JournalAdopted is the result of AdoptJournal.
type JournalAdopted struct {
	Journal ids.Journal `msgpack:"j"`
	Failed  bool        `msgpack:"f"`
}

// AdoptionMarked reports that MarkAdopted succeeded, or that another host has claimed the journal meanwhile.
type AdoptionMarked struct {
	Journal        ids.Journal   `msgpack:"j"`
	PriorAdoptions []ids.Journal `json:"Inherited" msgpack:"i"`
}

// DrainRequested begins a graceful shutdown.
type DrainRequested struct{}

// HandoverRequested starts the handover of this host's journal to a successor.
type HandoverRequested struct{}

// AdoptionRequested reports that a host requests the adoption of its journal.
type AdoptionRequested struct {
	Host ids.Host `msgpack:"h"`
}

// SendHeartbeat sends a heartbeat; the adapter sets TicketNumber and LeavingDigest.
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

// RenewLease writes this host's lease if its version is ExpectedVersion.
type RenewLease struct {
	Lease           Lease
	ExpectedVersion objectapi.Version `json:"Expected"`
}

// ReadLease reads the lease of a host.
type ReadLease struct{ Host ids.Host }

// ListLeases lists all leases.
type ListLeases struct{}

// ClaimLease writes a claim of a journal into the lease of its host if its version is ExpectedVersion.
type ClaimLease struct {
	Host            ids.Host
	Journal         ids.Journal
	Lease           Lease
	ExpectedVersion objectapi.Version `json:"Expected"`
}

// AdoptJournal adopts a journal: it imports the programs of the journal.
type AdoptJournal struct{ Journal ids.Journal }

// MarkAdopted writes Self, this host's record, which lists the adoption, and then finishes the claim in the lease of
// the journal's host.
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

// ViewChanged reports the complete member list and the suspected hosts, both sorted by name.
type ViewChanged struct {
	Members   []Member
	Suspected []ids.Host
}

// LeaseChanged reports until when this host's lease is valid; ValidUntil is 0 if it is not valid.
type LeaseChanged struct {
	ValidUntil clock.Millis
	Version    objectapi.Version
}

// StoreAvailabilityChanged reports whether the store is available, judged by the renewals of this host's lease.
type StoreAvailabilityChanged struct {
	Available bool `json:"Reachable"`
}

// HandoverCompleted reports that a successor has finished the adoption of this host's journal.
type HandoverCompleted struct {
	Successor ids.Journal `json:"Heir"`
}

// Fenced reports that this incarnation lost its lease to another process. The reducer ignores all later events.
type Fenced struct{ Reason string }

// Kinds of events and effects.
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
