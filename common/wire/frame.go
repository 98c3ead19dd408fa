package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/nesting"
)

var typeNames = map[Type]string{
	TypeHello:            "hello",
	TypeHeartbeat:        "heartbeat",
	TypeForwardCall:      "call",
	TypePiece:            "stream",
	TypeAnswer:           "answer",
	TypeCancel:           "cancel",
	TypeEnqueue:          "enqueue",
	TypeGrant:            "grant",
	TypeFinish:           "finish",
	TypeTicket:           "ticket",
	TypeTicketFetch:      "ticket_fetch",
	TypeMembership:       "member",
	TypeHandover:         "handover",
	TypeStoreRelay:       "relay",
	TypeProgramLookup:    "lookup",
	TypeServersLeaving:   "leaving",
	TypeWorkerState:      "worker_state",
	TypeHostAdmin:        "operate",
	TypeReserve:          "reserve",
	TypeSettle:           "settle",
	TypeTransferAccounts: "accounts",
	TypeRecallAccount:    "recall",
	TypeEntryHeartbeat:   "beat",
	TypeFollow:           "follow",
	TypeConfirm:          "confirm",
	TypeKeepTurn:         "keep_turn",
	TypeLoadChain:        "load_chain",
	TypeTouchTurns:       "touch_turns",
	TypeListTurns:        "list_turns",
	TypeFetchTurns:       "fetch_turns",
	TypeDiskStatus:       "disk_status",
	TypeQuota:            "quota",
}

// String returns the name of the type as in docs/design.md, section 9. Names are topics of PubSub and steps of
// errors.
func (t Type) String() string {
	if n, ok := typeNames[t]; ok {
		return n
	}
	return fmt.Sprintf("type %d", uint8(t))
}

// ParseType returns the type whose String is name.
func ParseType(name string) (Type, error) {
	for t, n := range typeNames {
		if n == name {
			return t, nil
		}
	}
	return 0, errors.Newf("unknown frame type %q", name)
}

// frameHeaderBytes is the size of the big-endian length in front of each frame.
const frameHeaderBytes = 4

var errFrameTooLarge = errors.Newf("frame is larger than %d bytes", MaxFrameBytes)

// frame is one message on a connection. ID is 0 in one-way messages.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	Type     Type
	ID       uint64
	Trace    string
	Body     msgpack.RawMessage
}

// helloBody is the first frame that each side of a connection sends.
type helloBody struct {
	_msgpack    struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	Version     int
	ProcessName string
	// DialedAddress is the address at which the sender dialed the receiver; empty in the reply.
	DialedAddress string
}

// protocolVersion rises when the envelope of frames changes; a link between different versions is closed.
const protocolVersion = 1

// answerBody is the body of TypeAnswer and TypePiece.
type answerBody struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	Err      *fault.Error
	Value    msgpack.RawMessage
}

func encodeFrame(t Type, id uint64, trace string, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode body of %s", t)
	}
	var buf bytes.Buffer
	buf.Grow(frameHeaderBytes + len(trace) + len(raw) + 16)
	buf.Write(make([]byte, frameHeaderBytes))
	if err := msgpack.NewEncoder(&buf).Encode(&frame{Type: t, ID: id, Trace: trace, Body: raw}); err != nil {
		return nil, errors.Wrapf(err, "encode %s", t)
	}
	b := buf.Bytes()
	if len(b)-frameHeaderBytes > MaxFrameBytes {
		return nil, errFrameTooLarge
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes))
	return b, nil
}

func readFrame(r *bufio.Reader) (*frame, error) {
	n, err := readFrameSize(r)
	if err != nil {
		return nil, err
	}
	return readFrameBody(r, n)
}

// readFrameSize reads the size of the next frame in bytes.
func readFrameSize(r *bufio.Reader) (int64, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxFrameBytes {
		return 0, errFrameTooLarge
	}
	return int64(n), nil
}

func readFrameBody(r *bufio.Reader, n int64) (*frame, error) {
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	if err := nesting.Check(b); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	var f frame
	if err := msgpack.Unmarshal(b, &f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return &f, nil
}

// isNil reports whether a body is the msgpack nil of a link heartbeat.
func isNil(body msgpack.RawMessage) bool {
	return len(body) == 0 || (len(body) == 1 && body[0] == 0xc0)
}

const traceHeader = "traceparent"

func injectTrace(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceHeader]
}

func extractTrace(ctx context.Context, trace string) context.Context {
	if trace == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceHeader: trace})
}
