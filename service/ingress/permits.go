package ingress

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/ratelimit"
)

const (
	// permitTimeout bounds a request for a permit: many round trips between failure domains.
	permitTimeout = 100 * time.Millisecond
	// permitRetryDelay is how long a server is not used after no host could be asked for a permit.
	permitRetryDelay = 250 * time.Millisecond
	// minPermitDeferral and maxPermitDeferral bound how long a server is not used after a permit was denied.
	minPermitDeferral = 10 * time.Millisecond
	maxPermitDeferral = 5 * time.Second
	// idleAccountTTL is how long the account of a server is kept without requests for permits. An account starts without
	// permits, so that its loss is safe.
	idleAccountTTL = 10 * time.Second
)

// PermitRequest asks for the permit to send one request to a server that names a rate limit.
type PermitRequest struct {
	Host   string
	Server string
	// StartedAtMS tells apart servers that use the same ID one after the other.
	StartedAtMS int64
	PerSecond   float64
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
}

func (r PermitRequest) validate() error {
	if r.Host == "" || r.Server == "" || !(r.PerSecond >= 0 && r.PerSecond <= ratelimit.MaxPerSecond) || r.MaxWait < 0 {
		return errors.Newf("request of host %q for a permit for server %q: limit %v, wait %v", r.Host, r.Server, r.PerSecond, r.MaxWait)
	}
	return nil
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	Granted bool
	// Wait is the time after which the request may be sent, or after which the host should ask again.
	Wait time.Duration
}

// Permits grants the requests to servers that name a rate limit, so that all hosts together stay within it.
type Permits interface {
	Request(ctx context.Context, r PermitRequest) Permit
}

// permitAccounts holds the accounts that this host keeps. It implements Permits for a host without peers.
type permitAccounts struct {
	mu       sync.Mutex
	accounts map[permitAccountKey]*permitAccount
}

type permitAccountKey struct {
	server      string
	startedAtMS int64
}

type permitAccount struct {
	*ratelimit.Account
	usedAt time.Time
}

func newPermitAccounts() *permitAccounts {
	return &permitAccounts{accounts: map[permitAccountKey]*permitAccount{}}
}

// Request implements Permits.
func (p *permitAccounts) Request(_ context.Context, r PermitRequest) Permit {
	return p.grant(r, time.Time{})
}

func (p *permitAccounts) grant(r PermitRequest, notBefore time.Time) Permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	key := permitAccountKey{server: r.Server, startedAtMS: r.StartedAtMS}
	account, ok := p.accounts[key]
	if !ok {
		p.deleteIdle(now)
		account = &permitAccount{Account: ratelimit.NewAccount(now, r.PerSecond)}
		p.accounts[key] = account
	}
	account.usedAt = now
	wait, granted := account.Grant(now, notBefore, r.Host, r.PerSecond, r.MaxWait)
	return Permit{Granted: granted, Wait: wait}
}

func (p *permitAccounts) deleteIdle(now time.Time) {
	for key, account := range p.accounts {
		if now.Sub(account.usedAt) > idleAccountTTL {
			delete(p.accounts, key)
		}
	}
}

// fleetPermits gets the permits for a server from the host that owns it. A host that reaches no owner gets none: it cannot
// know how much of the limit others use.
type fleetPermits struct {
	self     fleet.Host
	hosts    *Hosts
	node     *wire.Node
	accounts *permitAccounts

	mu     sync.Mutex
	tenure fleet.Tenure
	// silentUntil holds until when hosts that did not answer are not asked.
	silentUntil map[string]time.Time
}

func newFleetPermits(self fleet.Host, hosts *Hosts, node *wire.Node) *fleetPermits {
	p := &fleetPermits{self: self, hosts: hosts, node: node, accounts: newPermitAccounts(), silentUntil: map[string]time.Time{}}
	node.Handle(wire.TypePermit, p.serve)
	return p
}

// updateTenure records which hosts own servers now.
func (p *fleetPermits) updateTenure() {
	read(p.hosts, func(v *fleet.View) struct{} {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tenure.Update(time.Now(), v)
		return struct{}{}
	})
}

// Request implements Permits.
func (p *fleetPermits) Request(ctx context.Context, r PermitRequest) Permit {
	r.Host = p.self.Name
	owner, ok := p.hosts.Owner(r.Server)
	switch {
	case !ok || p.isSilent(owner.Name):
		return deniedPermit()
	case owner.Name == p.self.Name:
		return p.grantAsOwner(r)
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var answer Permit
	if err := p.node.Call(callCtx, owner.PeerAddress, wire.TypePermit, r, &answer); err != nil {
		if ctx.Err() == nil {
			p.recordSilence(owner.Name)
			logging.Emit(logging.PermitRequestFailed, logging.Fields{"server": r.Server, "peer": owner.Name, "error": err})
		}
		return deniedPermit()
	}
	return answer
}

// deniedPermit is the answer if no owner can be asked.
func deniedPermit() Permit {
	return Permit{Wait: permitRetryDelay + rand.N(permitRetryDelay)}
}

func (p *fleetPermits) isSilent(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.silentUntil[host])
}

func (p *fleetPermits) recordSilence(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUntil[host] = time.Now().Add(permitRetryDelay)
}

// grantAsOwner grants a permit if this host owns the server. A new owner waits until the permits of the former one are
// used up.
func (p *fleetPermits) grantAsOwner(r PermitRequest) Permit {
	p.updateTenure()
	p.mu.Lock()
	since, ok := p.tenure.OwnedSince(p.self.Name, r.Server)
	p.mu.Unlock()
	if !ok {
		return deniedPermit()
	}
	return p.accounts.grant(r, since.Add(ratelimit.HandoverDelay))
}

// serve answers another host's request for a permit.
func (p *fleetPermits) serve(_ context.Context, request *wire.Request) {
	var r PermitRequest
	err := request.Decode(&r)
	if err == nil {
		err = r.validate()
	}
	if err != nil {
		logging.Emit(logging.PermitRequestRejected, logging.Fields{"from": request.From, "error": err})
		if !request.OneWay() {
			_ = request.Fail(err) // fails only if the sender is gone
		}
		return
	}
	if !request.OneWay() {
		_ = request.Answer(p.grantAsOwner(r)) // fails only if the sender no longer waits
	}
}
