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

func (a *accounts) recall(r ledger.Recall) {
	var moved []ledger.Account
	var err error
	for _, h := range a.hosts.Live() {
		if h.Name != r.Holder || h.Name == a.self.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), decideTimeout)
		err = a.node.Call(ctx, h.Peer, wire.TypeRecall, r.Program, &moved)
		cancel()
	}
	logging.Emit(logging.AccountRecalled, logging.Fields{"program": r.Program, "holder": r.Holder, "programs": len(moved), "error": err})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Adopt(a.clock.Now(), moved)
	a.apply(a.ledger.Recalled(a.clock.Now(), r.Program))
}

func (a *accounts) serveRecall(_ context.Context, r *wire.Request) {
	var program string
	if err := r.Decode(&program); err != nil {
		_ = r.Fail(err)
		return
	}
	a.mu.Lock()
	moved := a.ledger.Release(func(p string) bool { return p == program })
	a.mu.Unlock()
	_ = r.Answer(moved) // if this fails, the account is lost and the asker counts its grant as spent
}

func (a *accounts) serveAccounts(_ context.Context, r *wire.Request) {
	var moved []ledger.Account
	if err := r.Decode(&moved); err != nil {
		_ = r.Fail(err)
		return
	}
	a.mu.Lock()
	a.ledger.Adopt(a.clock.Now(), moved)
	a.mu.Unlock()
	logging.Emit(logging.AccountsAdopted, logging.Fields{"from": r.From, "programs": len(moved)})
	_ = r.Answer(nil) // the sender drops the accounts in any case
}

func (a *accounts) move(ctx context.Context, leaving bool) {
	homes := a.homesOf()
	target := func(program string) fleet.Host {
		for _, h := range fleet.Ranked(homes, program) {
			if !leaving || h.Name != a.self.Name {
				return h
			}
		}
		return a.self
	}
	a.mu.Lock()
	a.leaving = a.leaving || leaving
	moved := a.ledger.Release(func(program string) bool { return target(program).Name != a.self.Name })
	a.mu.Unlock()
	byPeer := map[string][]ledger.Account{}
	for _, m := range moved {
		peer := target(m.Program).Peer
		byPeer[peer] = append(byPeer[peer], m)
	}
	for peer, list := range byPeer {
		ctx, cancel := context.WithTimeout(ctx, settleTries*reserveTimeout)
		err := a.node.Call(ctx, peer, wire.TypeAccounts, list, nil)
		cancel()
		logging.Emit(logging.AccountsMoved, logging.Fields{"peer": peer, "programs": len(list), "error": err})
	}
}

func (a *accounts) run(ctx context.Context) {
	ticker := time.NewTicker(budgetTick)
	defer ticker.Stop()
	known := ""
	for {
		homes := a.homesOf()
		if present := incarnations(homes); present != known {
			if err := a.list(ctx); err != nil {
				logging.Emit(logging.RecordsNotRead, logging.Fields{"error": err})
			} else {
				known = present
			}
			a.move(ctx, false)
		}
		a.tick(homes)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *accounts) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.readyAt.IsZero()
}

func incarnations(hosts []fleet.Host) string {
	var b strings.Builder
	for _, h := range hosts {
		b.WriteString(h.Name + " " + h.Incarnation + "\n")
	}
	return b.String()
}

func (a *accounts) tick(homes []fleet.Host) {
	owns := func(program string) bool {
		ranked := fleet.Ranked(homes, program)
		return len(ranked) > 0 && ranked[0].Name == a.self.Name
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.ledger.Tick(a.clock.Now(), owns))
}
