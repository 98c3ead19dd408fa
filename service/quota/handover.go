package quota

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	core "github.com/hyssopreel/hyssopreel/core/quota"
)

const (
	// handOverTimeout bounds the message with the accounts of one successor.
	handOverTimeout = 500 * time.Millisecond
	// maxAdopted bounds the accounts that are accepted from other hosts and not used yet.
	maxAdopted = 4096
)

// handedAccount is the account of a team whose keeper drains.
type handedAccount struct {
	Team   string
	Tokens float64
}

// adoptedAccount is an account that another host has handed over.
type adoptedAccount struct {
	tokens float64
	at     time.Duration
}

// HandOver hands the accounts of this host, which must be draining, over to their next keepers, and grants nothing from then
// on. Without it, a next keeper would have to wait until this one must have noticed that it is no longer in charge.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.handedOver = true
	now := s.now()
	accounts := s.accounts
	s.accounts = map[string]*keptAccount{}
	s.mu.Unlock()
	byAddress := map[string][]handedAccount{}
	for team, account := range accounts {
		if keepers := s.options.Keepers(team); len(keepers) > 0 {
			address := keepers[0].Address
			byAddress[address] = append(byAddress[address], handedAccount{Team: team, Tokens: account.Tokens(now)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var group sync.WaitGroup
	for address, handed := range byAddress {
		group.Go(func() {
			err := s.options.Node.Call(ctx, address, wire.TypeQuota, question{Host: s.options.Self, HandedOver: handed}, &answer{})
			if err != nil {
				logging.Emit(logging.QuotaHandoverFailed, logging.Fields{"peer": address, "teams": len(handed), "error": err})
			}
		})
	}
	group.Wait()
}

// adopt keeps the accounts of a host that drains until this host has become their keeper.
func (s *Service) adopt(accounts []handedAccount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, a := range accounts {
		if len(s.adopted) < maxAdopted && a.Tokens >= 0 {
			s.adopted[a.Team] = adoptedAccount{tokens: a.Tokens, at: now}
		}
	}
}

// takeAdopted returns the account that was handed over to this host within d, or nil; s.mu is held.
func (s *Service) takeAdopted(team string, now time.Duration, l core.Limit, d time.Duration) *keptAccount {
	adopted, ok := s.adopted[team]
	if !ok || now-adopted.at > d {
		return nil
	}
	delete(s.adopted, team)
	return &keptAccount{Account: core.NewAdoptedAccount(now, l, s.options.Bounds, adopted.tokens)}
}
