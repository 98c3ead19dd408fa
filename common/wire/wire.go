// Package wire carries messages between the daemons: msgpack bodies in length-prefixed frames over TCP.
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
	TypeHandover         // a draining host asks a peer to adopt its journal
	TypeStoreRelay       // object API call through a peer
	TypeProgramLookup    // states of programs, asked of their home
	TypeServersLeaving   // backend servers that are leaving
	TypeWorkerState      // order manager to group schedulers: whether a worker may get calls
	TypeHostAdmin        // status of a host, and its drain
	TypeReserve          // a turn of a program asks the host that accounts for it
	TypeSettle           // what a turn handed to its caller
	TypeTransferAccounts // accounts of programs that another host takes over
	TypeRecallAccount    // the host that accounts for a program asks a former one for its account
	TypeEntryHeartbeat   // state of an entry host, and what it has at backend servers
)

// MaxFrameBytes bounds a frame; a larger one closes the connection. It holds one object of the store
// (1 MB) with room for the envelope.
const MaxFrameBytes = 2 << 20
