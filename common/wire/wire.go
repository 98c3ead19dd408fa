// Package wire sends messages between hosts: msgpack bodies in length-prefixed frames over TCP.
package wire

// Type is the type of a frame.
type Type uint8

const (
	TypeHello Type = iota + 1
	TypeHeartbeat
	TypeForwardCall      // forwarded request of a caller
	TypePiece            // piece of a streamed answer
	TypeAnswer           // last frame of an answer
	TypeCancel           // the requester no longer waits
	TypeEnqueue          // home to pool scheduler
	TypeGrant            // pool scheduler to home
	TypeFinish           // home to pool scheduler
	TypeTicket           // new configuration ticket
	TypeTicketFetch      // request for the configuration in force
	TypeMembership       // changed member record
	TypeHandover         // request of a draining host that a peer adopt its journal
	TypeStoreRelay       // object store call that a peer makes for the sender
	TypeProgramLookup    // request for the states of programs, sent to their home
	TypeServersLeaving   // notice of leaving backend servers
	TypeWorkerState      // order manager to group schedulers: whether a worker may get calls
	TypeHostAdmin        // request for a host's status, or to drain it
	TypeReserve          // reservation of tokens for a turn, sent to the program's home
	TypeSettle           // settlement: the delivered tokens of a turn
	TypeTransferAccounts // accounts of programs, sent to their new home
	TypeRecallAccount    // request for the account of a program, sent to its former home
	TypeEntryHeartbeat   // heartbeat of an entry host: its state and its active requests at backend servers
	TypeFollow           // request of an entry host for changes of a peer's copy of the store's objects
	TypePermit           // request for the permit to send a request to a rate-limited backend server, sent to its owner
	TypeConfirm          // request for a peer's knowledge of when its configuration was the newest one
	TypeKeepTurn         // turn to be retained, sent to a host with a disk
	TypeLoadChain        // request for the turns up to one, sent to a host with a disk
	TypeTouchTurns       // turns that were read at another host with a disk
	TypeListTurns        // request of a host with a disk for the turns of which it should have copies
	TypeFetchTurns       // request of a host with a disk for copies of turns
	TypeDiskStatus       // request for the status of a host with a disk
	TypeQuota            // request for tokens of a team's quota, sent to the host that keeps the team's account
)

// MaxFrameBytes bounds a frame; a larger one closes the connection. It holds one object of the store
// (1 MB) with room for the envelope.
const MaxFrameBytes = 2 << 20
