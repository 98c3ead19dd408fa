package membership

import (
	"context"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/event"
	core "github.com/hyssopreel/hyssopreel/core/membership"
)

// RecordVersion identifies one version of a member record.
type RecordVersion struct {
	Name        ids.Host         `msgpack:"n"`
	Incarnation uint64           `msgpack:"i"`
	Version     uint64           `msgpack:"v"`
	State       core.MemberState `msgpack:"s"`
}

// MemberMessage is the body of a member frame and of its response.
type MemberMessage struct {
	// Compare requests the records that Known lacks or has in an older version.
	Compare bool            `msgpack:"c"`
	Known   []RecordVersion `msgpack:"k"`
	Records []Member        `msgpack:"r"`
	// Wanted lists, in a response, the records of which the requester has a newer version.
	Wanted     []ids.Host       `msgpack:"w"`
	Suspicions []core.Suspicion `msgpack:"s"`
}

// HandoverMessage requests that a peer adopt the journal of a host.
type HandoverMessage struct {
	Host ids.Host `msgpack:"h"`
}

// HandleHeartbeat processes a peer's heartbeat and returns this host's own.
func (s *Service) HandleHeartbeat(_ context.Context, heartbeat core.Heartbeat) core.Heartbeat {
	s.heartbeatReceived(heartbeat)
	v := s.view.Load()
	return s.addHookFields(core.Heartbeat{
		Host:             v.self.Name,
		Incarnation:      v.self.Incarnation,
		LeaseVersion:     objectapi.Version(s.leaseVersion.Load()),
		MembersDigest:    v.digest,
		SuspectsReceiver: v.suspected[heartbeat.Host],
	})
}

// HandleMember processes a member frame and returns the response, which is empty for a frame without Compare.
func (s *Service) HandleMember(_ context.Context, m MemberMessage) MemberMessage {
	if len(m.Records) > 0 {
		s.opts.Runtime.Publish(core.RecordsReceived{Records: m.Records})
	}
	for _, suspicion := range m.Suspicions {
		s.opts.Runtime.Publish(core.SuspicionReceived{Suspicion: suspicion})
	}
	if !m.Compare {
		return MemberMessage{}
	}
	return compareRecords(m.Known, s.view.Load().members)
}

// HandleHandover processes a request to adopt the journal of a host.
func (s *Service) HandleHandover(_ context.Context, m HandoverMessage) {
	s.opts.Runtime.Publish(core.AdoptionRequested{Host: m.Host})
}

// FrameReceived reports that a frame of any type arrived from a host. It may be called for every frame: at most one per
// host and half a heartbeat interval is published to the reducer.
func (s *Service) FrameReceived(h ids.Host) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	last, ok := s.frameReportedAt[h]
	due := !ok || now.Sub(last) >= s.opts.Settings.HeartbeatInterval/2
	if due {
		s.frameReportedAt[h] = now
	}
	s.mu.Unlock()
	if due {
		s.opts.Runtime.Publish(core.FrameReceived{Host: h})
	}
}

// PeerDisconnected reports that the connection to an address was lost, so that its host is suspected immediately.
func (s *Service) PeerDisconnected(addr string) {
	s.opts.Runtime.Publish(core.PeerDisconnected{Address: addr})
}

// compareRecords returns the records that the requester lacks or has in an older version, and the names of those that it
// has in a newer one.
func compareRecords(known []RecordVersion, members []Member) MemberMessage {
	var response MemberMessage
	peerRecords := map[ids.Host]Member{}
	for _, k := range known {
		peerRecords[k.Name] = Member{Name: k.Name, Incarnation: k.Incarnation, Version: k.Version, State: k.State}
	}
	for _, m := range members {
		peerRecord, ok := peerRecords[m.Name]
		delete(peerRecords, m.Name)
		switch {
		case !ok || m.Newer(peerRecord):
			response.Records = append(response.Records, m)
		case peerRecord.Newer(m):
			response.Wanted = append(response.Wanted, m.Name)
		}
	}
	for _, k := range known {
		if _, ok := peerRecords[k.Name]; ok {
			response.Wanted = append(response.Wanted, k.Name)
		}
	}
	return response
}

// addHookFields sets the fields of a heartbeat whose values come from the hooks.
func (s *Service) addHookFields(heartbeat core.Heartbeat) core.Heartbeat {
	if s.opts.Hooks.TicketNumber != nil {
		heartbeat.TicketNumber = s.opts.Hooks.TicketNumber()
	}
	if s.opts.Hooks.LeavingDigest != nil {
		heartbeat.LeavingDigest = s.opts.Hooks.LeavingDigest()
	}
	return heartbeat
}

func (s *Service) heartbeatReceived(heartbeat core.Heartbeat) {
	s.opts.Runtime.Publish(core.HeartbeatReceived{Heartbeat: heartbeat})
	for _, m := range s.view.Load().members {
		if m.Name != heartbeat.Host {
			continue
		}
		if s.opts.Hooks.TicketReceived != nil {
			s.opts.Hooks.TicketReceived(m, heartbeat.TicketNumber)
		}
		if s.opts.Hooks.LeavingReceived != nil {
			s.opts.Hooks.LeavingReceived(m, heartbeat.LeavingDigest)
		}
		return
	}
}

// registerHandlers registers the effect handlers. They run on the reducer's goroutine; async ones start another for I/O.
func (s *Service) registerHandlers() {
	on := func(k event.Kind, f func(event.Effect)) {
		s.opts.Runtime.Handle(k, func(_ clock.Millis, e event.Effect) { f(e) })
	}
	async := func(k event.Kind, f func(event.Effect)) {
		on(k, func(e event.Effect) { s.spawn(func() { f(e) }) })
	}
	async(core.KindSendHeartbeat, func(e event.Effect) { s.sendHeartbeat(e.(core.SendHeartbeat)) })
	async(core.KindExchangeRecords, func(e event.Effect) { s.exchangeRecords(e.(core.ExchangeRecords).Address) })
	async(core.KindSendRecords, func(e event.Effect) {
		x := e.(core.SendRecords)
		s.sendFrame(x.Address, wire.TypeMembership, MemberMessage{Records: x.Records})
	})
	async(core.KindSendSuspicion, func(e event.Effect) {
		x := e.(core.SendSuspicion)
		s.sendFrame(x.Address, wire.TypeMembership, MemberMessage{Suspicions: []core.Suspicion{x.Suspicion}})
	})
	async(core.KindRequestAdoption, func(e event.Effect) {
		s.sendFrame(e.(core.RequestAdoption).Address, wire.TypeHandover, HandoverMessage{Host: s.opts.Self.Name})
	})
	async(core.KindRenewLease, func(e event.Effect) { s.renewLease(e.(core.RenewLease)) })
	async(core.KindReadLease, func(e event.Effect) { s.fetchLease(e.(core.ReadLease).Host) })
	async(core.KindListLeases, func(event.Effect) { s.listLeases() })
	async(core.KindClaimLease, func(e event.Effect) { s.claimLease(e.(core.ClaimLease)) })
	async(core.KindAdoptJournal, func(e event.Effect) { s.adoptJournal(e.(core.AdoptJournal).Journal) })
	async(core.KindMarkAdopted, func(e event.Effect) { s.markAdopted(e.(core.MarkAdopted)) })
	on(core.KindWriteMember, func(e event.Effect) { s.writer.add(e.(core.WriteMember).Member) })
	on(core.KindViewChanged, func(e event.Effect) { s.viewChanged(e.(core.ViewChanged)) })
	on(core.KindLeaseChanged, func(e event.Effect) {
		x := e.(core.LeaseChanged)
		s.leaseValidUntil.Store(int64(x.ValidUntil))
		s.leaseVersion.Store(uint64(x.Version))
	})
	on(core.KindStoreAvailabilityChanged, func(e event.Effect) {
		available := e.(core.StoreAvailabilityChanged).Available
		s.storeAvailable.Store(available)
		s.log("store_changed", map[string]any{"reachable": available})
	})
	on(core.KindHandoverCompleted, func(e event.Effect) {
		closeOnce(s.handoverDone)
		s.log("handed_over", map[string]any{"heir": e.(core.HandoverCompleted).Successor})
	})
	on(core.KindFenced, func(e event.Effect) { s.markFenced(e.(core.Fenced).Reason) })
}

// closeOnce closes a channel that only the reducer's goroutine closes.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (s *Service) markFenced(reason string) {
	closeOnce(s.fenced)
	s.log("deposed", map[string]any{"reason": reason})
	if s.opts.Adopter != nil {
		s.spawn(func() { s.opts.Adopter.Fenced(reason) })
	}
}

func (s *Service) viewChanged(e core.ViewChanged) {
	old := s.view.Load()
	s.setView(old.self, e.Members, e.Suspected)
	now := s.view.Load()
	for _, m := range now.members {
		if now.suspected[m.Name] != old.suspected[m.Name] {
			s.log("suspicion_changed", map[string]any{"host": m.Name, "suspected": now.suspected[m.Name]})
		}
	}
}

func (s *Service) sendFrame(addr string, t wire.Type, body any) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.SuspicionTimeout)
	defer cancel()
	// The error is ignored: after a lost message, the next heartbeat's digest differs and starts a record exchange.
	_ = s.opts.Transport.Send(ctx, addr, t, body)
}

func (s *Service) sendHeartbeat(e core.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.SuspicionTimeout)
	defer cancel()
	var response core.Heartbeat
	if err := s.opts.Transport.Call(ctx, e.Address, wire.TypeHeartbeat, s.addHookFields(e.Heartbeat), &response); err != nil {
		return // the reducer suspects a host that sends no frames
	}
	if response.Host == e.Host {
		s.heartbeatReceived(response)
	}
}

// exchangeRecords exchanges newer member records with a peer. It sends only versions first, because the whole list of
// 370 records is about 55 KB.
func (s *Service) exchangeRecords(addr string) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.SuspicionTimeout)
	defer cancel()
	members := s.view.Load().members
	request := MemberMessage{Compare: true}
	for _, m := range members {
		request.Known = append(request.Known, RecordVersion{Name: m.Name, Incarnation: m.Incarnation, Version: m.Version, State: m.State})
	}
	var response MemberMessage
	if err := s.opts.Transport.Call(ctx, addr, wire.TypeMembership, request, &response); err != nil {
		return // the next heartbeat starts another exchange
	}
	if len(response.Records) > 0 {
		s.opts.Runtime.Publish(core.RecordsReceived{Records: response.Records})
	}
	wanted := map[ids.Host]bool{}
	for _, h := range response.Wanted {
		wanted[h] = true
	}
	var records []Member
	for _, m := range members {
		if wanted[m.Name] {
			records = append(records, m)
		}
	}
	if len(records) > 0 {
		s.sendFrame(addr, wire.TypeMembership, MemberMessage{Records: records})
	}
}
