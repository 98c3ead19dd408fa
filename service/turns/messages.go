package turns

import (
	"time"

	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// KindDiskHosts is the kind of the objects in the store in which hosts with a disk register.
const KindDiskHosts = "disk-hosts"

// status is the result of a request to a host with a disk.
type status int

const (
	statusDone status = iota
	// statusNotReady: the host reads its disk, or is retiring. For a request for a chain also: it has no such turn, but has
	// not yet made the copies again that its disk lost, or so many disks were lost that the turn may have been on them only.
	statusNotReady
	// statusFull: the host has no space for another turn.
	statusFull
	// statusConflict: another turn with this ID is retained.
	statusConflict
	// statusAbsent: the host has no such turn.
	statusAbsent
	// statusOtherTeam: the turn belongs to another team.
	statusOtherTeam
)

// keepRequest asks a host to retain a turn. The answer comes once the turn is synced.
type keepRequest struct {
	Record turnlog.Record
}

type keepAnswer struct {
	Status status
	// DiskID is that of the host, so that a host which is listed twice counts once.
	DiskID string
	// NearlyFull is set if the host will soon have no space.
	NearlyFull bool `msgpack:",omitempty"`
}

// chainRequest asks for the turns up to Turn.
type chainRequest struct {
	Turn string
	Team string
	// Probe is set if the answer should hold no turns.
	Probe bool `msgpack:",omitempty"`
	// Retention is the longest retention of any turn that the sender knows of.
	Retention time.Duration `msgpack:",omitempty"`
}

// chainPiece is a part of the answer. The turns of all parts are in order, oldest first.
type chainPiece struct {
	Status status
	// Host is the name of the host: at the address of a lost one there may be another.
	Host string
	// Missing is the ID of the turn that the first one continues and that the host does not have.
	Missing string `msgpack:",omitempty"`
	// Anchor is that of the chain.
	Anchor turnlog.Anchor
	// Bytes is the size of all turns of the answer.
	Bytes   int              `msgpack:",omitempty"`
	Records []turnlog.Record `msgpack:",omitempty"`
}

// touchMessage tells a host that turns were read at another one.
type touchMessage struct {
	Turns []string
}

// listRequest asks a host for the turns of which the sender should have a copy, by the sender's list of hosts.
type listRequest struct {
	Host   string
	Hosts  []turnlog.Host
	Copies int
	// After is the order up to which the sender has seen the turns; it counts in the receiver's incarnation only.
	Incarnation string
	After       uint64
	// Retains is set if the sender retains turns, so that the receiver must follow the list of hosts.
	Retains bool
}

type listPiece struct {
	// DiskID is that of the host's disk.
	DiskID      string
	Incarnation string
	// Last is the order of the last turn that was looked at.
	Last  uint64
	Turns []listedTurn
}

type listedTurn struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	ID       string
	Bytes    int
	// Unused is how long the turn has not been used.
	Unused time.Duration
}

// fetchRequest asks for turns of which the sender should have a copy.
type fetchRequest struct {
	Turns []string
}

type fetchPiece struct {
	// DiskID is that of the host's disk: another one than that of the list says nothing of the turns that it lacks.
	DiskID  string
	Records []turnlog.Record
	// Unused is how long each of them has not been used.
	Unused []time.Duration
}

// statusRequest asks whether a host works, and how far it is with its copies.
type statusRequest struct {
	// Newest is the revision of the newest entry of a disk host that the sender knows.
	Newest uint64
	// Retains is as in listRequest.
	Retains bool
}

// statusAnswer describes a host with a disk.
type statusAnswer struct {
	Host, Incarnation, DiskID string
	// CopiedRevision is the revision of the list of hosts for which the host has all of its copies.
	CopiedRevision uint64
	// Newest is the revision of the newest entry of a disk host that the host knows.
	Newest uint64
	// AcceptsTurns is set if the host has space and its disk works.
	AcceptsTurns bool
}
