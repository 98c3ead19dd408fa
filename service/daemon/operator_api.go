package daemon

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/service/entry"
	"github.com/hyssopreel/hyssopreel/service/membership"
)

// statusTimeout bounds the status requests to all hosts.
const statusTimeout = time.Second

// operateRequest is the body of a TypeHostAdmin request. Drain shuts the host down.
type operateRequest struct {
	Drain bool `msgpack:"d"`
}

// hostStatus is the answer to an operateRequest.
type hostStatus struct {
	Ticket   uint64              `msgpack:"t"`
	Programs []api.ProgramStatus `msgpack:"p"`
}

func (d *Daemon) mountOperatorRoutes(r chi.Router) {
	r.Get("/v1/programs", d.listPrograms)
	r.Post("/v1/tickets", d.applyTicket)
	r.Get("/v1/tickets", d.listTickets)
	r.Get("/v1/tickets/{number}", d.showTicket)
	r.Get("/v1/members", d.listMembers)
	r.Post("/v1/members/{host}/drain", d.drainMember)
	r.Get("/v1/backends", func(w http.ResponseWriter, _ *http.Request) {
		entry.WriteJSON(w, http.StatusOK, api.Backends{Backends: d.backends.Backends()})
	})
	r.Get("/v1/pools", d.listPools)
	d.node.Handle(wire.TypeHostAdmin, d.handleOperate)
}

func (d *Daemon) handleOperate(ctx context.Context, r *wire.Request) {
	var request operateRequest
	if r.Decode(&request) != nil {
		return
	}
	if request.Drain {
		d.requestDrain()
	}
	_ = r.Answer(d.ownStatus(ctx))
}

// requestDrain starts the shutdown of this host, as a signal does.
func (d *Daemon) requestDrain() {
	select {
	case d.drainRequested <- struct{}{}:
	default:
	}
}

func (d *Daemon) ownStatus(ctx context.Context) hostStatus {
	status := hostStatus{Ticket: d.configuration.TicketNumber()}
	if r, err := d.home.Read(ctx, program.QueryList, "", ""); err == nil {
		status.Programs = r.List
	}
	return status
}

// hostStatuses requests the status of all hosts concurrently. Hosts that do not answer within statusTimeout are
// missing.
func (d *Daemon) hostStatuses(ctx context.Context) map[ids.Host]hostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := map[ids.Host]hostStatus{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range d.members.Members() {
		if m.State == membership.StateGone {
			continue
		}
		wg.Go(func() {
			status := hostStatus{}
			if m.Journal == d.members.Self().Journal {
				status = d.ownStatus(ctx)
			} else if err := d.node.Call(ctx, m.PeerAddress, wire.TypeHostAdmin, operateRequest{}, &status); err != nil {
				return
			}
			mu.Lock()
			out[m.Name] = status
			mu.Unlock()
		})
	}
	wg.Wait()
	return out
}

// listPrograms lists the programs of all hosts that answer.
func (d *Daemon) listPrograms(w http.ResponseWriter, r *http.Request) {
	list := api.Programs{Programs: []api.ProgramStatus{}}
	for _, status := range d.hostStatuses(r.Context()) {
		list.Programs = append(list.Programs, status.Programs...)
	}
	slices.SortFunc(list.Programs, func(a, b api.ProgramStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	entry.WriteJSON(w, http.StatusOK, list)
}

func (d *Daemon) applyTicket(w http.ResponseWriter, r *http.Request) {
	var ticket config.Ticket
	if ferr := entry.Decode(r, &ticket); ferr != nil {
		entry.WriteError(w, ferr)
		return
	}
	c, err := d.configuration.Apply(r.Context(), ticket)
	if err != nil {
		entry.WriteError(w, fault.From(err, "apply ticket"))
		return
	}
	entry.WriteJSON(w, http.StatusOK, api.TicketAccepted{Number: c.Number})
}

func (d *Daemon) listTickets(w http.ResponseWriter, _ *http.Request) {
	list := api.Tickets{InForce: d.configuration.TicketNumber(), Tickets: []api.TicketSummary{}}
	for _, t := range d.configuration.AcceptedTickets() {
		list.Tickets = append(list.Tickets, api.TicketSummary{Number: t.Number, Author: t.Author, Comment: t.Comment, Tag: t.Tag, AcceptedAtMS: int64(t.AcceptedAt)})
	}
	entry.WriteJSON(w, http.StatusOK, list)
}

func (d *Daemon) showTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(entry.Param(r, "number"), 10, 64)
	if err != nil {
		entry.WriteError(w, fault.New(fault.CodeInvalidRequest, "show ticket", "%q is not a ticket number", entry.Param(r, "number")))
		return
	}
	t, err := d.configuration.Ticket(r.Context(), number)
	if err != nil {
		entry.WriteError(w, fault.From(err, "show ticket"))
		return
	}
	entry.WriteJSON(w, http.StatusOK, t)
}

func (d *Daemon) listMembers(w http.ResponseWriter, r *http.Request) {
	statuses := d.hostStatuses(r.Context())
	list := api.Members{Members: []api.Member{}}
	for _, m := range d.members.Members() {
		state := string(m.State)
		if m.State == membership.StateUp && d.members.Suspected(m.Name) {
			state = "suspect"
		}
		status := statuses[m.Name]
		list.Members = append(list.Members, api.Member{
			Name: m.Name, Journal: m.Journal, FailureDomain: m.FailureDomain, Address: m.HTTPAddress, PeerAddress: m.PeerAddress,
			State: state, Adopted: m.Adopted, Ticket: status.Ticket, Programs: len(status.Programs),
		})
	}
	entry.WriteJSON(w, http.StatusOK, list)
}

func (d *Daemon) drainMember(w http.ResponseWriter, r *http.Request) {
	host := ids.Host(entry.Param(r, "host"))
	if err := d.drainHost(r.Context(), host); err != nil {
		entry.WriteError(w, fault.From(err, "drain host"))
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (d *Daemon) drainHost(ctx context.Context, host ids.Host) error {
	for _, m := range d.members.Members() {
		switch {
		case m.Name != host:
		case m.Journal == d.members.Self().Journal:
			d.requestDrain()
			return nil
		default:
			return errors.WithStack(d.node.Call(ctx, m.PeerAddress, wire.TypeHostAdmin, operateRequest{Drain: true}, nil))
		}
	}
	return fault.New(fault.CodeNotFound, "drain host", "host %q does not exist", host)
}

// listPools lists the configured pools with the status that their order managers wrote.
func (d *Daemon) listPools(w http.ResponseWriter, r *http.Request) {
	pools, err := d.orders.Pools(r.Context(), d.configuration.Current())
	if err != nil {
		entry.WriteError(w, fault.New(fault.CodeStoreUnavailable, "list pools", "%v", err))
		return
	}
	entry.WriteJSON(w, http.StatusOK, pools)
}
