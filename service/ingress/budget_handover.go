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

// recall requests a program's account from the holder of its grant, and reports the end to the ledger. A holder
// that is gone or has restarted has no account.
func (a *budgetService) recall(r ledger.RecallAccount) {
	var accounts []ledger.AccountSnapshot
	var err error
	for _, h := range a.hosts.Reachable() {
		if h.Name != r.Holder || h.Name == a.self.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), localReserveTimeout)
		err = a.node.Call(ctx, h.PeerAddress, wire.TypeRecallAccount, r.Program, &accounts)
		cancel()
	}
	logging.Emit(logging.AccountRecalled, logging.Fields{"program": r.Program, "holder": r.Holder, "programs": len(accounts), "error": err})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.AdoptAccounts(a.clock.Now(), accounts)
	a.applyEffects(a.ledger.AccountRecalled(a.clock.Now(), r.Program))
}

func (a *budgetService) serveRecall(_ context.Context, r *wire.Request) {
	var program string
	if err := r.Decode(&program); err != nil {
		_ = r.Fail(err)
		return
	}
	a.mu.Lock()
	accounts := a.ledger.ReleaseAccounts(a.clock.Now(), func(p string) bool { return p == program })
	a.mu.Unlock()
	_ = r.Answer(accounts) // if this fails, the account is lost and the requesting host counts its grant as spent
}

func (a *budgetService) serveAccounts(_ context.Context, r *wire.Request) {
	var accounts []ledger.AccountSnapshot
	if err := r.Decode(&accounts); err != nil {
		_ = r.Fail(err)
		return
	}
	a.mu.Lock()
	a.ledger.AdoptAccounts(a.clock.Now(), accounts)
	a.mu.Unlock()
	logging.Emit(logging.AccountsAdopted, logging.Fields{"from": r.From, "programs": len(accounts)})
	_ = r.Answer(nil) // the sender has removed the accounts and doesn't send them again
}

// handOver sends accounts to the hosts that are the programs' homes now. A leaving host hands over all its
// accounts.
func (a *budgetService) handOver(ctx context.Context, leaving bool) {
	newHome := func(program string) fleet.Host {
		for _, h := range a.homeOrder(program) {
			if !leaving || h.Name != a.self.Name {
				return h
			}
		}
		return a.self
	}
	a.mu.Lock()
	a.handingOver = a.handingOver || leaving
	moved := a.ledger.ReleaseAccounts(a.clock.Now(), func(program string) bool { return newHome(program).Name != a.self.Name })
	a.mu.Unlock()
	byPeer := map[string][]ledger.AccountSnapshot{}
	for _, m := range moved {
		peer := newHome(m.Program).PeerAddress
		byPeer[peer] = append(byPeer[peer], m)
	}
	for peer, accounts := range byPeer {
		ctx, cancel := context.WithTimeout(ctx, maxSettleTries*reserveTimeout)
		err := a.node.Call(ctx, peer, wire.TypeTransferAccounts, accounts, nil)
		cancel()
		logging.Emit(logging.AccountsHandedOver, logging.Fields{"peer": peer, "programs": len(accounts), "error": err})
	}
}

// run reads the records and hands accounts over at the start and whenever the homes change, and expires accounts
// and records at every tick. It returns when ctx ends. While the store is unavailable, accounts stay where they are: the
// next host could not use them without a grant, and the accounts of this host may have one.
func (a *budgetService) run(ctx context.Context) {
	go a.foundersLoop.run(ctx)
	lastKey := ""
	for {
		if key := incarnationsKey(a.hosts.Roles().Homes); key != lastKey && a.hosts.HasSynced() {
			if err := a.readRecordsIfHome(ctx); err != nil {
				logging.Emit(logging.GrantRecordsReadFailed, logging.Fields{"error": err})
			} else {
				lastKey = key
				a.handOver(ctx, false)
			}
		} else if a.listIsDue() && a.reachesStore() {
			if err := a.listRecords(ctx); err != nil {
				logging.Emit(logging.GrantRecordsReadFailed, logging.Fields{"error": err})
			}
		}
		a.tick()
		wait := budgetTickInterval
		if !a.hosts.HasSynced() {
			wait = syncPollInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// readRecordsIfHome reads the records if this host accounts for programs.
func (a *budgetService) readRecordsIfHome(ctx context.Context) error {
	if !a.hosts.IsHome() {
		return nil
	}
	return a.listRecords(ctx)
}

// listIsDue reports whether the records must be listed again so that this host can be the founder of more programs.
func (a *budgetService) listIsDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.recordsRead {
		return false
	}
	now, listedAt, forgotten := a.clock.Now(), a.ledger.ListedAt(), a.ledger.Forgotten()
	return a.founders.NeedsList(now, a.ledger.LongestRetention(), listedAt) ||
		forgotten > 0 && now.Sub(listedAt) >= forgottenListInterval || forgotten > maxForgotten && now.Sub(listedAt) >= time.Minute
}

// hasReadRecords reports whether the records were read at least once.
func (a *budgetService) hasReadRecords() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recordsRead
}

// incarnationsKey returns a key that changes when a host joins, leaves or restarts.
func incarnationsKey(hosts []fleet.Host) string {
	var b strings.Builder
	for _, h := range hosts {
		b.WriteString(h.Name + " " + h.Incarnation + "\n")
	}
	return b.String()
}

func (a *budgetService) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEffects(a.ledger.Tick(a.clock.Now()))
}
