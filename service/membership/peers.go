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

// RecordVersion names one state of a member record.
type RecordVersion struct {
	Name        ids.Host         `msgpack:"n"`
	Incarnation uint64           `msgpack:"i"`
	Version     uint64           `msgpack:"v"`
	State       core.MemberState `msgpack:"s"`
}

// MemberMessage is the body of a member frame and of its answer.
type MemberMessage struct {
	// Compare asks for the records that are newer than those in Known.
	Compare bool            `msgpack:"c"`
	Known   []RecordVersion `msgpack:"k"`
	Records []Member        `msgpack:"r"`
	// Wanted lists, in an answer, the records of which the asker has a newer state.
	Wanted     []ids.Host       `msgpack:"w"`
	Suspicions []core.Suspicion `msgpack:"s"`
}

// HandoverMessage asks a peer to adopt the journal of a host.
type HandoverMessage struct {
	Host ids.Host `msgpack:"h"`
}

// HandleHeartbeat takes a heartbeat and returns the answer.
func (s *Service) HandleHeartbeat(_ context.Context, b core.Heartbeat) core.Heartbeat {
	s.heartbeatReceived(b)
	v := s.view.Load()
	return s.addHookFields(core.Heartbeat{
		Host:             v.self.Name,
		Incarnation:      v.self.Incarnation,
		LeaseVersion:     objectapi.Version(s.leaseVersion.Load()),
		MembersDigest:    v.digest,
		SuspectsReceiver: v.suspected[b.Host],
	})
}

// HandleMember takes a member frame and returns the answer. The answer of a frame without Compare is empty.
func (s *Service) HandleMember(_ context.Context, m MemberMessage) MemberMessage {
	if len(m.Records) > 0 {
		s.opts.Runtime.Publish(core.RecordsReceived{Records: m.Records})
	}
	for _, x := range m.Suspicions {
		s.opts.Runtime.Publish(core.SuspicionReceived{Suspicion: x})
	}
	if !m.Compare {
		return MemberMessage{}
	}
	return compareRecords(m.Known, s.view.Load().members)
}

// HandleHandover takes a request to adopt the journal of a host.
func (s *Service) HandleHandover(_ context.Context, m HandoverMessage) {
	s.opts.Runtime.Publish(core.AdoptionRequested{Host: m.Host})
}

// FrameReceived says that a frame of any type arrived from a host. It may be called for each frame; the reducer
// hears of one per host and half a heartbeat period.
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

// PeerDisconnected says that the link to an address was lost; the host there is suspected at once.
func (s *Service) PeerDisconnected(addr string) {
	s.opts.Runtime.Publish(core.PeerDisconnected{Address: addr})
}

// compareRecords returns the records that the asker lacks and the names of those that it has newer.
func compareRecords(known []RecordVersion, members []Member) MemberMessage {
	var out MemberMessage
	theirs := map[ids.Host]Member{}
	for _, k := range known {
		theirs[k.Name] = Member{Name: k.Name, Incarnation: k.Incarnation, Version: k.Version, State: k.State}
	}
	for _, m := range members {
		t, ok := theirs[m.Name]
		delete(theirs, m.Name)
		switch {
		case !ok || m.Newer(t):
			out.Records = append(out.Records, m)
		case t.Newer(m):
			out.Wanted = append(out.Wanted, m.Name)
		}
	}
	for _, k := range known {
		if _, ok := theirs[k.Name]; ok {
			out.Wanted = append(out.Wanted, k.Name)
		}
	}
	return out
}

// addHookFields adds what other packages contribute to heartbeats.
func (s *Service) addHookFields(b core.Heartbeat) core.Heartbeat {
	if s.opts.Hooks.TicketNumber != nil {
		b.TicketNumber = s.opts.Hooks.TicketNumber()
	}
	if s.opts.Hooks.LeavingDigest != nil {
		b.LeavingDigest = s.opts.Hooks.LeavingDigest()
	}
	return b
}

func (s *Service) heartbeatReceived(b core.Heartbeat) {
	s.opts.Runtime.Publish(core.HeartbeatReceived{Heartbeat: b})
	for _, m := range s.view.Load().members {
		if m.Name != b.Host {
			continue
		}
		if s.opts.Hooks.TicketReceived != nil {
			s.opts.Hooks.TicketReceived(m, b.TicketNumber)
		}
		if s.opts.Hooks.LeavingReceived != nil {
			s.opts.Hooks.LeavingReceived(m, b.LeavingDigest)
		}
		return
	}
}

// registerHandlers registers the effect handlers. They run on the reducer's goroutine and start I/O on others.
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
		up := e.(core.StoreAvailabilityChanged).Available
		s.storeAvailable.Store(up)
		s.log("store_changed", map[string]any{"reachable": up})
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
	// A lost message is made good by the next heartbeat, whose digest differs.
	_ = s.opts.Transport.Send(ctx, addr, t, body)
}

func (s *Service) sendHeartbeat(e core.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.SuspicionTimeout)
	defer cancel()
	var answer core.Heartbeat
	if err := s.opts.Transport.Call(ctx, e.Address, wire.TypeHeartbeat, s.addHookFields(e.Heartbeat), &answer); err != nil {
		return // silence is judged by the reducer
	}
	if answer.Host == e.Host {
		s.heartbeatReceived(answer)
	}
}

// exchangeRecords compares the member lists with a peer. Only keys are sent first: the whole list of 370 records
// is about 55 KB.
func (s *Service) exchangeRecords(addr string) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.SuspicionTimeout)
	defer cancel()
	members := s.view.Load().members
	ask := MemberMessage{Compare: true}
	for _, m := range members {
		ask.Known = append(ask.Known, RecordVersion{Name: m.Name, Incarnation: m.Incarnation, Version: m.Version, State: m.State})
	}
	var answer MemberMessage
	if err := s.opts.Transport.Call(ctx, addr, wire.TypeMembership, ask, &answer); err != nil {
		return // the next heartbeat starts another exchange
	}
	if len(answer.Records) > 0 {
		s.opts.Runtime.Publish(core.RecordsReceived{Records: answer.Records})
	}
	wanted := map[ids.Host]bool{}
	for _, h := range answer.Wanted {
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
