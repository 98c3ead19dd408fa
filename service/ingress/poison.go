package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/dial"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/poison"
)

// endProbeTimeout bounds the connection that shows whether a server has ended.
const endProbeTimeout = 100 * time.Millisecond

// poisonRecords holds the records of requests that end servers. It is safe for concurrent use.
type poisonRecords struct {
	now func() time.Time

	mu    sync.Mutex
	table *poison.Table
}

func newPoisonRecords(now func() time.Time) *poisonRecords {
	return &poisonRecords{now: now, table: poison.NewTable()}
}

// recordEnd records the end of a server to which the request had been sent.
func (p *poisonRecords) recordEnd(x *exchange, end poison.End) {
	f := x.fingerprint()
	p.mu.Lock()
	changed := p.table.RecordEnd(p.now(), f, x.poisonKey(), end)
	verdict, ends := p.table.Verdict(p.now(), f)
	p.mu.Unlock()
	if !changed {
		return
	}
	logging.Emit(logging.ServerEndedUnderRequest, logging.Fields{
		"request": x.metadata.Attempt, "program": x.metadata.Program, "route": x.route.Name, "fingerprint": f, "server": end.Server, "began": end.Began, "ends": ends,
	})
	if verdict == poison.Quarantined {
		logging.Emit(logging.RequestQuarantined, logging.Fields{"fingerprint": f, "origin": "response"})
	}
}

// recordSuccess records that the request has run to its end.
func (p *poisonRecords) recordSuccess(x *exchange) {
	if _, ends := p.verdict(x); ends == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.RecordSuccess(p.now(), x.fingerprint())
}

// verdict returns the verdict on the request and the number of servers that have ended with it.
func (p *poisonRecords) verdict(x *exchange) (v poison.Verdict, ends int) {
	p.mu.Lock()
	known := p.table.MayContain(x.poisonKey())
	p.mu.Unlock()
	if !known {
		return poison.Innocent, 0
	}
	f := x.fingerprint()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Verdict(p.now(), f)
}

// poisonKey returns a cheap hash of the request, the same for requests with the same fingerprint.
func (x *exchange) poisonKey() uint64 {
	var d xxhash.Digest
	for _, part := range []string{x.request.Method, x.request.Host, x.request.URL.Path, x.metadata.Caller} {
		_, _ = d.WriteString(part) // never returns an error
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64() + uint64(len(x.body))
}

// fingerprint returns what identifies the request at any host: its path, caller and body.
func (x *exchange) fingerprint() poison.Fingerprint {
	x.fingerprintOnce.Do(func() {
		h := sha256.New()
		for _, part := range [][]byte{[]byte(x.request.Method), []byte(x.request.Host), []byte(x.request.URL.Path), []byte(x.metadata.Caller), x.body} {
			_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // a hash returns no error
			_, _ = h.Write(part)
		}
		copy(x.fingerprintValue[:], h.Sum(nil))
	})
	return x.fingerprintValue
}

// recordBreak is called after the response of a server broke off or is missing. If the server accepts no connections any
// more, it has ended. A server that drains, or whose entry is gone, ends as planned; a silent one may have lost its power
// or its network. began is set if the server had begun to run the request and had not produced anything yet.
func (x *exchange) recordBreak(ctx context.Context, acquired *AcquiredServer, began bool) {
	if ctx.Err() != nil || acquired.isLeaving() || !acquired.refusesConnections() {
		return
	}
	lifetime := poison.Lifetime{Server: acquired.ID(), StartedAtMS: acquired.backend.info.StartedAtMS}
	x.ingress.poison.recordEnd(x, poison.End{Lifetime: lifetime, Began: began})
}

// isLeaving reports whether the server is draining or no longer in use.
func (l *AcquiredServer) isLeaving() bool {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.backend.info.Draining || s.byID[l.backend.info.ID] != l.backend
}

// refusesConnections reports whether the server refuses a connection now. Requests that break off together share one
// attempt.
func (l *AcquiredServer) refusesConnections() bool {
	p := &l.backend.endProbe
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.at) >= endProbeTimeout {
		conn, err := dial.New(endProbeTimeout).Dial("tcp", l.backend.info.Address)
		if err == nil {
			_ = conn.Close()
		}
		p.at, p.refused = now, isRefused(err)
	}
	return p.refused
}

func isRefused(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && errors.Is(err, syscall.ECONNREFUSED)
}

// endProbe is the result of the last attempt to connect to a server whose responses broke off.
type endProbe struct {
	mu      sync.Mutex
	at      time.Time
	refused bool
}
