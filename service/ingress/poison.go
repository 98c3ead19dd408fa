package ingress

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/dial"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/poison"
)

const (
	// endProbeTimeout bounds the connection that shows whether a server has ended.
	endProbeTimeout = 100 * time.Millisecond
	// recentRecordAge is the age up to which heartbeats carry records of their own accord.
	recentRecordAge = 3 * time.Second
	// maxRecentRecords and maxSentRecords bound the records in one heartbeat: recent ones, and all of a host that lacks some.
	maxRecentRecords = 128
	maxSentRecords   = 512
	// maxShownRecords bounds the records that operators are shown.
	maxShownRecords = 100
	// maxEndsInRecord bounds what is accepted in one record of another host.
	maxEndsInRecord = 64
)

// poisonRecords holds the records of requests that end servers. It is safe for concurrent use.
type poisonRecords struct {
	now func() time.Time
	// changed receives a value when the records of this host's requests have changed, so that other hosts are told.
	changed chan struct{}
	// host is the name of this host, the observer of the ends that it records.
	host string
	// onEnd is called with the fingerprints of a request under which a server has ended at this host.
	onEnd func(poison.Chain)

	mu    sync.Mutex
	table *poison.Table
}

func newPoisonRecords(now func() time.Time) *poisonRecords {
	return &poisonRecords{now: now, changed: make(chan struct{}, 1), onEnd: func(poison.Chain) {}, table: poison.NewTable()}
}

func (p *poisonRecords) signalChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// recordEnd records the end of a server to which the request had been sent.
func (p *poisonRecords) recordEnd(x *exchange, end poison.End) {
	chain := x.fingerprints()
	end.Observer = p.host
	p.mu.Lock()
	before, _ := p.table.Verdict(p.now(), chain)
	changed := p.table.RecordEnd(p.now(), chain, x.poisonKey(), end)
	verdict, record := p.table.Verdict(p.now(), chain)
	p.mu.Unlock()
	if !changed {
		return
	}
	p.signalChange()
	p.onEnd(chain)
	fingerprint := chain[len(chain)-1]
	logging.Emit(logging.ServerEndedUnderRequest, logging.Fields{
		"request": x.metadata.Attempt, "program": x.metadata.Program, "route": x.route.Name, "fingerprint": fingerprint,
		"server": end.Server, "began": end.Began,
	})
	if verdict == poison.Quarantined && before != poison.Quarantined {
		logging.Emit(logging.RequestQuarantined, logging.Fields{"fingerprint": record.Fingerprint, "request": x.metadata.Attempt, "ends": len(record.Ends), "origin": "response"})
	}
}

// recordSuccess records that the request has run to its end, if it has. A response with another status than 2xx proves
// nothing: a server may send it without running the request.
func (p *poisonRecords) recordSuccess(x *exchange) {
	if x.completedSentAt.IsZero() || !p.mayContain(x) {
		return
	}
	chain := x.fingerprints()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.RecordSuccess(p.now(), x.completedSentAt, chain) {
		p.signalChange()
	}
}

// recent returns the records that changed lately, and the digest of the table.
func (p *poisonRecords) recent() (records []poison.Record, digest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Records(p.now(), recentRecordAge, maxRecentRecords), p.table.Digest(p.now())
}

// all returns the newest records of the table, after those of quarantined requests, of which a host that lacks one is told
// even if there are many others.
func (p *poisonRecords) all() []poison.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	var quarantined, others []poison.Record
	for _, r := range p.table.Records(p.now(), math.MaxInt64, math.MaxInt) {
		if r.Verdict() == poison.Quarantined {
			quarantined = append(quarantined, r)
		} else {
			others = append(others, r)
		}
	}
	records := append(quarantined, others...)
	return records[:min(len(records), maxSentRecords)]
}

// quarantined returns the requests in quarantine for operators.
func (p *poisonRecords) quarantined() []api.QuarantinedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []api.QuarantinedRequest{}
	for _, r := range p.table.Records(p.now(), math.MaxInt64, math.MaxInt) {
		if r.Verdict() != poison.Quarantined || len(out) == maxShownRecords {
			continue
		}
		request := api.QuarantinedRequest{Fingerprint: r.Fingerprint.String(), Prefix: r.IsPrefix(), EndedMS: r.Age.Milliseconds()}
		for _, end := range r.Ends {
			request.Servers = append(request.Servers, end.Server)
		}
		out = append(out, request)
	}
	return out
}

// merge applies the records of another host.
func (p *poisonRecords) merge(records []poison.Record, host string) {
	if len(records) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.table.Merge(p.now(), records) {
		logging.Emit(logging.RequestQuarantined, logging.Fields{"fingerprint": f, "origin": host})
	}
}

// expire removes the expired records.
func (p *poisonRecords) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Expire(p.now())
}

// validatePoisonRecords rejects records that no host sends.
func validatePoisonRecords(records []poison.Record) error {
	if len(records) > maxSentRecords {
		return errors.Newf("%d records of requests that end servers", len(records))
	}
	for _, r := range records {
		if r.Age < 0 || len(r.Ends) > maxEndsInRecord {
			return errors.Newf("record of request %s: age %v, %d ends", r.Fingerprint, r.Age, len(r.Ends))
		}
		for _, end := range r.Ends {
			if end.Age < 0 || end.Ran < 0 {
				return errors.Newf("record of request %s: server %s ended %v ago, after %v", r.Fingerprint, end.Server, end.Age, end.Ran)
			}
		}
	}
	return nil
}

// errQuarantined means that the request is refused because it ends the servers that run it.
var errQuarantined = errors.New("request ends the backend servers that run it")

// quarantineFailure returns the refusal of a request that is quarantined, nil for others. It invites no retry, and its
// status is no 4xx, because the request is valid and the verdict may be wrong.
func (x *exchange) quarantineFailure() *failure {
	verdict, record := x.ingress.poison.verdict(x)
	if verdict != poison.Quarantined {
		return nil
	}
	status := http.StatusServiceUnavailable
	if x.executions > 0 {
		status = http.StatusBadGateway
	}
	return &failure{
		status: status, reason: "quarantined", fingerprint: record.Fingerprint.String(),
		cause: errors.Wrapf(errQuarantined, "%d backend servers ended", len(record.Ends)),
	}
}

// verdict returns the verdict on the request and the record on which it is based.
func (p *poisonRecords) verdict(x *exchange) (poison.Verdict, poison.Record) {
	if !p.mayContain(x) {
		return poison.Innocent, poison.Record{}
	}
	chain := x.fingerprints()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Verdict(p.now(), chain)
}

func (p *poisonRecords) mayContain(x *exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.MayContain(x.poisonKey())
}

// isSuspect reports whether the request may have ended a server.
func (x *exchange) isSuspect() bool {
	verdict, _ := x.ingress.poison.verdict(x)
	return verdict != poison.Innocent
}

// poisonKey returns a cheap hash of the request, the same for requests that have a fingerprint in common.
func (x *exchange) poisonKey() uint64 {
	var d xxhash.Digest
	for _, part := range []string{x.request.Method, x.request.Host, x.request.URL.Path, x.metadata.Caller} {
		_, _ = d.WriteString(part) // never returns an error
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// fingerprints returns what identifies the request and its prefixes at any host: method, host, path, caller and body, and
// the turn that it continues.
func (x *exchange) fingerprints() poison.Chain {
	x.fingerprintsOnce.Do(func() {
		x.fingerprintChain = poison.NewChain([]string{x.request.Method, x.request.Host, x.request.URL.Path, x.metadata.Caller}, x.bodyParts...)
		if x.route.RetainTurns {
			x.fingerprintChain = x.fingerprintChain.Continue(x.metadata.PreviousTurn)
		}
	})
	return x.fingerprintChain
}

// recordBreak is called after the response of a server broke off or is missing. If the server refuses connections or has
// started again, it has ended. A server that drains, or whose entry is gone, ends as planned; a silent one may have lost
// its power or its network. sentAt is when the request was sent to the server; began is set if the server had begun to run
// the request and had not produced anything yet.
func (x *exchange) recordBreak(ctx context.Context, acquired *AcquiredServer, sentAt time.Time, began bool) {
	brokeAt := x.ingress.now()
	if ctx.Err() != nil || acquired.isLeaving() || !acquired.hasEnded() {
		return
	}
	lifetime := poison.Lifetime{Server: acquired.ID(), StartedAtMS: acquired.backend.info.StartedAtMS}
	x.ingress.poison.recordEnd(x, poison.End{Lifetime: lifetime, Ran: brokeAt.Sub(sentAt), Age: x.ingress.now().Sub(brokeAt), Began: began})
}

// refusesConnections reports whether the server refuses a connection now. Requests that break off together share one
// attempt.
func (l *AcquiredServer) refusesConnections() bool {
	p := &l.backend.endProbe
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.at) >= endProbeTimeout {
		p.refused = dial.IsRefused(l.backend.info.Address, endProbeTimeout)
		p.at = time.Now() // after the attempt, so that requests that waited for it do not make another one
	}
	return p.refused
}

// endProbe is the result of the last attempt to connect to a server whose responses broke off.
type endProbe struct {
	mu      sync.Mutex
	at      time.Time
	refused bool
}
