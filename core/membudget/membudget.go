// Package membudget decides which connections may make a process hold more memory. It measures nothing: callers reserve
// bytes before they hold them.
package membudget

// Fractions of the limit.
const (
	// maxLargeFraction bounds what all connections use together when one that already has more than SmallBytes asks. The
	// rest stays for ordinary requests.
	maxLargeFraction = 0.9
	// maxAddressLargeFraction and maxAddressFraction bound, in the same two cases, what the connections of one caller
	// address use, so that callers at other addresses can always reserve something.
	maxAddressLargeFraction = 0.85
	maxAddressFraction      = 0.96
	// maxConnFraction bounds what one connection uses: the largest request and its response.
	maxConnFraction = 0.5
)

// SmallBytes is what a connection with an ordinary request uses at most.
const SmallBytes = 96 << 10

// Refusal is the bound that a reservation would exceed.
type Refusal int

// The bounds, in the order in which they are checked.
const (
	Granted Refusal = iota
	ConnFull
	AddressFull
	TotalFull
)

// Budget is the memory that all connections may use together. It is not safe for concurrent use.
type Budget struct {
	limit     int64
	used      int64
	addresses map[string]*address
}

// address is what the connections of one caller address use.
type address struct {
	name     string
	used     int64
	accounts int
}

// Account is what one connection uses.
type Account struct {
	address *address
	used    int64
}

// New returns a budget of limit bytes; 0 is no limit.
func New(limit int64) *Budget { return &Budget{limit: limit, addresses: map[string]*address{}} }

// SetLimit changes the limit. What is reserved stays so.
func (b *Budget) SetLimit(limit int64) { b.limit = limit }

// Limit returns the limit, and Used the reserved bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used }

// Open returns the account of a new connection from a caller address.
func (b *Budget) Open(name string) *Account {
	a := b.addresses[name]
	if a == nil {
		a = &address{name: name}
		b.addresses[name] = a
	}
	a.accounts++
	return &Account{address: a}
}

// Close releases all that the account uses. The account must not be used afterwards.
func (b *Budget) Close(a *Account) {
	b.Release(a, a.used)
	a.address.accounts--
	if a.address.accounts == 0 {
		delete(b.addresses, a.address.name)
	}
}

// Reserve counts n bytes for the account, or reports which bound they would exceed.
func (b *Budget) Reserve(a *Account, n int64) Refusal {
	if refusal := b.check(a, n); refusal != Granted {
		return refusal
	}
	b.used += n
	a.used += n
	a.address.used += n
	return Granted
}

func (b *Budget) check(a *Account, n int64) Refusal {
	if b.limit <= 0 {
		return Granted
	}
	total, ofAddress := b.limit, b.fraction(maxAddressFraction)
	if a.used+n > SmallBytes {
		total, ofAddress = b.fraction(maxLargeFraction), b.fraction(maxAddressLargeFraction)
	}
	switch {
	case a.used+n > b.fraction(maxConnFraction):
		return ConnFull
	case b.used+n > total:
		return TotalFull
	case a.address.used+n > ofAddress:
		return AddressFull
	}
	return Granted
}

func (b *Budget) fraction(f float64) int64 { return int64(float64(b.limit) * f) }

// Release returns n bytes that the account reserved, or as many as it has.
func (b *Budget) Release(a *Account, n int64) {
	n = min(n, a.used)
	b.used -= n
	a.used -= n
	a.address.used -= n
}

// Used returns what the account has reserved.
func (a *Account) Used() int64 { return a.used }

// SameAddress reports whether two accounts belong to connections from one caller address.
func (a *Account) SameAddress(other *Account) bool { return a.address == other.address }
