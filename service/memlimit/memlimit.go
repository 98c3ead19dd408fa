// Package memlimit bounds the memory that clients make a process hold: it counts the heads, bodies and responses of their
// connections before they are held, refuses what exceeds the bound, and closes connections that hold memory or
// descriptors while they wait for their client.
package memlimit

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/membudget"
)

const (
	// connBytes is counted for each open connection: the two buffers of net/http and its goroutine.
	connBytes = 16 << 10
	// RequestBytes is counted for each request besides its head and body: goroutines, the connection to a backend server,
	// and a response or events of up to SmallResponseBytes.
	RequestBytes = 24 << 10
	// SmallResponseBytes is the part of a response that RequestBytes covers.
	SmallResponseBytes = 8 << 10
	// headLineBytes is counted for each line of a head: the entry in the map of net/http with its name, value and slice.
	// Heads of the shortest lines were measured at 90 bytes a line.
	headLineBytes = 128
	// maxConnsFraction bounds the memory that is counted for connections without requests.
	maxConnsFraction = 0.33
	// minStall is the time without a byte after which a connection that waits for its client may be closed because others
	// need its memory. A sender at 2 Mbit/s sends a packet every 6 ms.
	minStall = 500 * time.Millisecond
	// evictionWait bounds how long a reservation waits for the memory of connections that are being closed.
	evictionWait = 200 * time.Millisecond
	// evictionPoll is the interval in which it looks.
	evictionPoll = 2 * time.Millisecond
	// searchPause is the time between two searches of all connections of which the first found nothing to close.
	searchPause = 10 * time.Millisecond
	// refusalInterval is the interval between two log lines about refusals.
	refusalInterval = time.Second
)

// Options configure a Limiter. Zero values are no limits.
type Options struct {
	// Bytes bounds the memory that all connections use together.
	Bytes int64
	// MaxConns bounds the open connections. The connection that waits longest for its client is closed for a new one.
	MaxConns int
	// ReceiveBufferBytes bounds what the kernel keeps of a connection before it is read, and SendBufferBytes what it keeps
	// of a response.
	ReceiveBufferBytes int
	SendBufferBytes    int
	// UnreadBytes bounds what the kernel keeps of all connections before it is read: Sweep closes those with most. Only
	// connections whose requests are being handled are not read.
	UnreadBytes int64
	// BodyStallTimeout is the time without a byte after which a body is given up; SetBodyStallTimeout changes it.
	BodyStallTimeout time.Duration
	// WriteStallTimeout is the time for which a write may wait for the client; Sweep ends those that wait longer.
	WriteStallTimeout time.Duration
	// Name distinguishes the limiter in logs and metrics.
	Name  string
	Scope tally.Scope
}

// Limiter bounds the connections of one or more listeners. All methods are safe for concurrent use.
type Limiter struct {
	options Options

	bodyStallTimeout atomic.Int64 // nanoseconds

	mu     sync.Mutex
	budget *membudget.Budget
	conns  map[*Conn]struct{}
	// searchAfter is when connections are searched again for stalled ones, by the kind of search, after one found none.
	searchAfter map[search]time.Time
	// evictedBytes is what evicted connections still use.
	evictedBytes int64
	refused      int
	evicted      int
	reportedAt   time.Time
}

// New returns a limiter.
func New(o Options) *Limiter {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	l := &Limiter{options: o, budget: membudget.New(o.Bytes), conns: map[*Conn]struct{}{}, searchAfter: map[search]time.Time{}}
	l.SetBodyStallTimeout(o.BodyStallTimeout)
	return l
}

// SetBodyStallTimeout changes Options.BodyStallTimeout.
func (l *Limiter) SetBodyStallTimeout(d time.Duration) { l.bodyStallTimeout.Store(int64(d)) }

// SetBytes changes Options.Bytes.
func (l *Limiter) SetBytes(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetLimit(n)
}

// Usage returns the reserved bytes, the bound, and the number of open connections.
func (l *Limiter) Usage() (used, limit int64, conns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Used(), l.budget.Limit(), len(l.conns)
}

// account is what one connection uses, or one request without a limited connection.
type account struct {
	limiter *Limiter
	budget  *membudget.Account
	// conn is nil for a request without a limited connection, which is not evicted.
	conn   *Conn
	closed bool
}

func (a *account) close() {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.closed {
		a.closed = true
		l.releaseLocked(a, a.budget.Used())
		l.budget.Close(a.budget)
	}
}

// releaseLocked returns n bytes of the account.
func (l *Limiter) releaseLocked(a *account, n int64) {
	l.budget.Release(a.budget, n)
	if a.conn != nil && a.conn.evictedBytes > 0 {
		freed := min(n, a.conn.evictedBytes)
		a.conn.evictedBytes -= freed
		l.evictedBytes -= freed
	}
}

// reserve counts n bytes before they are held. It reports false if they must not be held; it may wait for a moment until
// connections that wait for their clients are closed.
func (a *account) reserve(n int64) bool {
	l := a.limiter
	l.mu.Lock()
	refusal := l.reserveLocked(a, n)
	l.mu.Unlock()
	return refusal == membudget.Granted || l.evictAndReserve(a, n)
}

// reserveLocked is reserve without a wait. A closed account gets nothing.
func (l *Limiter) reserveLocked(a *account, n int64) membudget.Refusal {
	if a.closed {
		return membudget.ConnFull
	}
	return l.budget.Reserve(a.budget, n)
}

// Reservation is the memory of one request; BeginRequest begins it. Its methods are safe for concurrent use, also after its end.
type Reservation struct {
	account *account
	// owned is set if the account ends with the request.
	owned bool

	mu    sync.Mutex
	bytes int64
	ended bool
}

// BeginRequest sets r to a reservation for a request whose head was read, and for a copy of the head for the backend
// server. It reports false if there is no memory for it. The caller ends the reservation in either case.
func (l *Limiter) BeginRequest(ctx context.Context, r *Reservation) bool {
	if c := ConnOf(ctx); c != nil {
		c.phase.Store(int32(phaseBusy))
		r.account = c.account
		return r.Reserve(RequestBytes + c.headBytes)
	}
	l.mu.Lock()
	r.account, r.owned = &account{limiter: l, budget: l.budget.Open("")}, true
	l.mu.Unlock()
	return r.Reserve(RequestBytes)
}

// Reserve counts n bytes before they are held, or reports false if they must not be held.
func (r *Reservation) Reserve(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || !r.account.reserve(n) {
		return false
	}
	r.bytes += n
	return true
}

// Release returns n bytes.
func (r *Reservation) Release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.releaseLocked(n)
	}
}

func (r *Reservation) releaseLocked(n int64) {
	l := r.account.limiter
	l.mu.Lock()
	l.releaseLocked(r.account, n)
	l.mu.Unlock()
	r.bytes -= n
}

// End releases everything. What is still reserved afterwards is refused.
func (r *Reservation) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.releaseLocked(r.bytes)
	r.ended = true
	if r.owned {
		r.account.close()
	}
}

// evictAndReserve closes connections that wait for their clients until n bytes can be reserved.
func (l *Limiter) evictAndReserve(a *account, n int64) bool {
	for deadline := time.Now().Add(evictionWait); ; {
		l.mu.Lock()
		refusal := l.reserveLocked(a, n)
		if refusal == membudget.Granted {
			l.mu.Unlock()
			return true
		}
		waiting := l.evictedBytes > 0
		for refusal != membudget.ConnFull && l.evictedBytes < n {
			victim := l.largestStalled(a, n, refusal == membudget.AddressFull)
			if victim == nil {
				break
			}
			l.evictLocked(victim)
			waiting = true
		}
		if !waiting || time.Now().After(deadline) {
			l.countRefusal(refusal)
			l.mu.Unlock()
			return false
		}
		l.mu.Unlock()
		time.Sleep(evictionPoll)
	}
}

// largestStalled returns the connection that uses most memory among those whose clients have been silent; nil if there is
// none. Only connections from the address of a are considered if sameAddress is set, and only large ones if a is large.
func (l *Limiter) largestStalled(a *account, n int64, sameAddress bool) *Conn {
	var victim *Conn
	now := time.Now()
	kind := search{large: a.budget.Used()+n > membudget.SmallBytes, sameAddress: sameAddress}
	if now.Before(l.searchAfter[kind]) {
		return nil
	}
	before := now.Add(-minStall).UnixNano()
	atLeast := int64(0)
	if kind.large {
		atLeast = membudget.SmallBytes
	}
	for c := range l.conns {
		used := c.account.budget.Used()
		switch {
		case c == a.conn || used <= atLeast || c.evicted.Load() || !c.waitsForClient() || c.progressAt.Load() > before:
		case sameAddress && !c.account.budget.SameAddress(a.budget):
		case victim == nil || used > victim.account.budget.Used():
			victim = c
		}
	}
	if victim == nil {
		l.searchAfter[kind] = now.Add(searchPause)
	}
	return victim
}

// search is a kind of search for stalled connections.
type search struct{ large, sameAddress bool }

// longestWaiting returns the connection to close for a new one: the one that has been idle longest, or else the one
// whose client has been silent longest.
func (l *Limiter) longestWaiting() *Conn {
	var idle, stalled *Conn
	before := time.Now().Add(-minStall).UnixNano()
	for c := range l.conns {
		switch at := c.progressAt.Load(); {
		case c.evicted.Load() || !c.waitsForClient():
		case phase(c.phase.Load()) == phaseIdle:
			if idle == nil || at < idle.progressAt.Load() {
				idle = c
			}
		case at <= before && (stalled == nil || at < stalled.progressAt.Load()):
			stalled = c
		}
	}
	if idle != nil {
		return idle
	}
	return stalled
}

// evictLocked ends a connection. A request whose body is being read is answered before.
func (l *Limiter) evictLocked(c *Conn) {
	l.evicted++
	l.options.Scope.Counter("connections_evicted").Inc(1)
	c.evicted.Store(true)
	c.evictedBytes = c.account.budget.Used()
	l.evictedBytes += c.evictedBytes
	if phase(c.phase.Load()) == phaseBody && !c.writing.Load() {
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed already
		return
	}
	go c.abort()
}

// Sweep closes connections whose clients have not read for Options.WriteStallTimeout, and those with most unread bytes over
// Options.UnreadBytes. It is called every second or so: a deadline for each write would cost an ordinary request more.
func (l *Limiter) Sweep() {
	if timeout := l.options.WriteStallTimeout; timeout > 0 {
		before := time.Now().Add(-timeout).UnixNano()
		l.mu.Lock()
		for c := range l.conns {
			if c.writing.Load() && c.progressAt.Load() < before && !c.evicted.Load() {
				l.evictLocked(c)
			}
		}
		l.mu.Unlock()
	}
	if l.options.UnreadBytes > 0 {
		l.closeUnread()
	}
}

// closeUnread closes the connections with most unread bytes until the others are within Options.UnreadBytes.
func (l *Limiter) closeUnread() {
	l.mu.Lock()
	var conns []*Conn
	// The kernel keeps up to twice the size that was set.
	if int64(len(l.conns)*2*l.options.ReceiveBufferBytes) > l.options.UnreadBytes {
		conns = slices.Collect(maps.Keys(l.conns))
	}
	l.mu.Unlock()
	total, unread := int64(0), make(map[*Conn]int64, len(conns))
	for _, c := range conns {
		unread[c] = c.unreadBytes()
		total += unread[c]
	}
	if total <= l.options.UnreadBytes {
		return
	}
	slices.SortFunc(conns, func(a, b *Conn) int { return cmp.Compare(unread[b], unread[a]) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if total <= l.options.UnreadBytes {
			return
		}
		total -= unread[c]
		if !c.evicted.Load() {
			l.evictLocked(c)
		}
	}
}

// countRefusal counts a refused reservation, and reports refusals and evictions at most once in refusalInterval.
func (l *Limiter) countRefusal(refusal membudget.Refusal) {
	l.refused++
	l.options.Scope.Counter("reservations_refused").Inc(1)
	now := time.Now()
	if now.Sub(l.reportedAt) < refusalInterval {
		return
	}
	l.reportedAt = now
	logging.Emit(logging.MemoryRefused, logging.Fields{
		"limiter": l.options.Name, "used": l.budget.Used(), "limit": l.budget.Limit(), "connections": len(l.conns), "bound": refusalNames[refusal],
		"refused": l.refused, "evicted": l.evicted,
	})
	l.refused, l.evicted = 0, 0
}

var refusalNames = map[membudget.Refusal]string{
	membudget.ConnFull: "connection", membudget.AddressFull: "caller address", membudget.TotalFull: "total",
}

type connKey struct{}

// ConnContext is the http.Server.ConnContext of servers whose listener is limited.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request that a server with ConnContext serves; nil if it is not limited.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ConnState is the http.Server.ConnState of servers whose listener is limited.
func ConnState(netConn net.Conn, s http.ConnState) {
	if c, ok := netConn.(*Conn); ok && s == http.StateIdle {
		c.becomeIdle()
	}
}

// ResetOnClose makes the connection of a request end with a reset, so that a response that was cut off does not look
// complete.
func ResetOnClose(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // fails only if the connection is closed already
	}
}

// storeNow stores the present time in Unix nanoseconds.
func storeNow(at *atomic.Int64) { at.Store(time.Now().UnixNano()) }
