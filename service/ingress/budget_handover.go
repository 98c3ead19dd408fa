package ingress

import (
	"context"
	"strings"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

func (a *budgetService) recall(r ledger.RecallAccount) {
	var moved []ledger.AccountSnapshot
	var err error
	for _, h := range a.hosts.Reachable() {
		if h.Name != r.Holder || h.Name == a.self.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), localReserveTimeout)
		err = a.node.Call(ctx, h.PeerAddress, wire.TypeRecall, r.Program, &moved)
		cancel()
	}
	logging.Emit(logging.AccountRecalled, logging.Fields{"program": r.Program, "holder": r.Holder, "programs": len(moved), "error": err})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.AdoptAccounts(a.clock.Now(), moved)
	a.applyEffects(a.ledger.AccountRecalled(a.clock.Now(), r.Program))
}

func (a *budgetService) serveRecall(_ context.Context, r *wire.Request) {
	var program string
	if err := r.Decode(&program); err != nil {
		_ = r.Fail(err)
		return
	}
	a.mu.Lock()
	moved := a.ledger.ReleaseAccounts(func(p string) bool { return p == program })
	a.mu.Unlock()
	_ = r.Answer(moved) // if this fails, the account is lost and the asker counts its grant as spent
}

func (a *budgetService) serveAccounts(_ context.Context, r *wire.Request) {
	var moved []ledger.AccountSnapshot
	if err := r.Decode(&moved); err != nil {
		_ = r.Fail(err)
		return
	}
	a.mu.Lock()
	a.ledger.AdoptAccounts(a.clock.Now(), moved)
	a.mu.Unlock()
	logging.Emit(logging.AccountsAdopted, logging.Fields{"from": r.From, "programs": len(moved)})
	_ = r.Answer(nil) // the sender drops the accounts in any case
}

func (a *budgetService) handOver(ctx context.Context, leaving bool) {
	homes := a.homeCandidates()
	target := func(program string) fleet.Host {
		for _, h := range fleet.RendezvousOrder(homes, program) {
			if !leaving || h.Name != a.self.Name {
				return h
			}
		}
		return a.self
	}
	a.mu.Lock()
	a.handingOver = a.handingOver || leaving
	moved := a.ledger.ReleaseAccounts(func(program string) bool { return target(program).Name != a.self.Name })
	a.mu.Unlock()
	byPeer := map[string][]ledger.AccountSnapshot{}
	for _, m := range moved {
		peer := target(m.Program).PeerAddress
		byPeer[peer] = append(byPeer[peer], m)
	}
	for peer, list := range byPeer {
		ctx, cancel := context.WithTimeout(ctx, maxSettleTries*reserveTimeout)
		err := a.node.Call(ctx, peer, wire.TypeAccounts, list, nil)
		cancel()
		logging.Emit(logging.AccountsMoved, logging.Fields{"peer": peer, "programs": len(list), "error": err})
	}
}

func (a *budgetService) run(ctx context.Context) {
	ticker := time.NewTicker(budgetTickInterval)
	defer ticker.Stop()
	known := ""
	for {
		homes := a.homeCandidates()
		if present := incarnationsKey(homes); present != known {
			if err := a.listRecords(ctx); err != nil {
				logging.Emit(logging.RecordsNotRead, logging.Fields{"error": err})
			} else {
				known = present
			}
			a.handOver(ctx, false)
		}
		a.tick(homes)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *budgetService) hasReadRecords() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.recordsReadAt.IsZero()
}

func incarnationsKey(hosts []fleet.Host) string {
	var b strings.Builder
	for _, h := range hosts {
		b.WriteString(h.Name + " " + h.Incarnation + "\n")
	}
	return b.String()
}

func (a *budgetService) tick(homes []fleet.Host) {
	owns := func(program string) bool {
		ranked := fleet.RendezvousOrder(homes, program)
		return len(ranked) > 0 && ranked[0].Name == a.self.Name
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEffects(a.ledger.Tick(a.clock.Now(), owns))
}
