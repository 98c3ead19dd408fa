package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/sched"
	"github.com/hyssopreel/hyssopreel/service/backends"
	servicemembership "github.com/hyssopreel/hyssopreel/service/membership"
)

// The bodies of enqueue and grant frames, as in service/home/schedlink.go.
type (
	toScheduler struct {
		Enqueued *sched.Enqueued     `msgpack:"e,omitempty"`
		Finished *sched.Finished     `msgpack:"f,omitempty"`
		Ended    *sched.ProgramEnded `msgpack:"n,omitempty"`
	}
	toHome struct {
		Grant *sched.Grant `msgpack:"g,omitempty"`
	}
)

// measureFrames sends each example over a connection and prints the length of its frame.
func measureFrames(options) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	lengths := make(chan int, 1)
	go readFrameLengths(l, lengths)
	node := wire.NewNode(wire.Options{ProcessName: "almaty-a-1/3w5e11264sgsf", HeartbeatInterval: time.Hour, KeepAliveTimeout: time.Hour})
	defer func() { _ = node.Close() }()
	for i, m := range frameExamples() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := node.Send(ctx, l.Addr().String(), m.frameType, m.body)
		cancel()
		if err != nil {
			return err
		}
		if i == 0 {
			fmt.Printf("hello: %d bytes\n", <-lengths)
		}
		fmt.Printf("%s: %d bytes\n", m.name, <-lengths)
	}
	return nil
}

func readFrameLengths(l net.Listener, lengths chan<- int) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for {
		var header [4]byte
		if _, err := io.ReadFull(conn, header[:]); err != nil {
			return
		}
		n := int64(binary.BigEndian.Uint32(header[:]))
		if _, err := io.CopyN(io.Discard, conn, n); err != nil {
			return
		}
		lengths <- int(n) + len(header)
	}
}

type frameExample struct {
	name      string
	frameType wire.Type
	body      any
}

func frameExamples() []frameExample {
	q := enqueuedEvent("reel-lm/37", 4711)
	m := testMembers(370)
	versions := make([]servicemembership.RecordVersion, len(m))
	for i := range m {
		versions[i] = servicemembership.RecordVersion{Name: m[i].Name, Incarnation: 7, Version: 3, State: membership.StateUp}
	}
	programs := make([]ids.Program, 100)
	for i := range programs {
		programs[i] = ids.NewProgram(journalID, uint64(100_000+i))
	}
	rng := rand.New(rand.NewPCG(5, 6))
	heartbeat := membership.Heartbeat{Host: "almaty-a-1", Incarnation: 7, LeaseVersion: 1 << 30, MembersDigest: 1 << 62, TicketNumber: 5_000_000, LeavingDigest: 1 << 61}
	document := configstate.Document{Config: testConfig(1000)}
	return []frameExample{
		{"heartbeat of a link", wire.TypeHeartbeat, nil},
		{"heartbeat of the membership, the same as its answer", wire.TypeHeartbeat, heartbeat},
		{"enqueue", wire.TypeEnqueue, toScheduler{Enqueued: &q}},
		{"finish (sent as enqueue)", wire.TypeEnqueue, toScheduler{Finished: &sched.Finished{Call: q.Call, Group: q.Group, Worker: "reel-lm-4711", PromptTokens: 20_000, CachedTokens: 19_000, GeneratedTokens: 271}}},
		{"program ended (sent as enqueue)", wire.TypeEnqueue, toScheduler{Ended: &sched.ProgramEnded{Program: q.Call.Program, Group: q.Group, Agent: q.Agent, Turns: 280}}},
		{"grant", wire.TypeGrant, toHome{Grant: &sched.Grant{Call: q.Call, Group: q.Group, Home: journalID, Worker: "reel-lm-4711", WaitedMS: 100}}},
		{"ticket for one team", wire.TypeTicket, configstate.TicketPushed{From: "10.1.1.1:8081", BaseNumber: 1, Ticket: testTicket(2, "team-0001"), AcceptedAt: 1}},
		{"ticket_fetch", wire.TypeTicketFetch, struct {
			Number uint64 `msgpack:"n"`
		}{5_000_000}},
		{"answer to ticket_fetch, 1,000 teams", wire.TypeAnswer, &document},
		{"member, one record", wire.TypeMembership, servicemembership.MemberMessage{Records: m[:1]}},
		{"member, one suspicion", wire.TypeMembership, servicemembership.MemberMessage{Suspicions: []membership.Suspicion{{Host: "almaty-a-1", Incarnation: 7, LeaseVersion: 1 << 30, SilentMS: 2000}}}},
		{"member, keys of 370 hosts", wire.TypeMembership, servicemembership.MemberMessage{Compare: true, Known: versions}},
		{"member, records of 370 hosts", wire.TypeMembership, servicemembership.MemberMessage{Records: m}},
		{"handover", wire.TypeHandover, servicemembership.HandoverMessage{Host: "almaty-a-1"}},
		{"lookup of 100 programs", wire.TypeProgramLookup, struct {
			Programs []ids.Program `msgpack:"p"`
		}{programs}},
		{"leaving, one notice", wire.TypeServersLeaving, backends.LeavingMessage{Notices: make([]backends.LeavingNotice, 1)}},
		{"relay of a lease renewal", wire.TypeStoreRelay, objectapi.RelayRequest{Op: "update", Kind: objectapi.KindLease, Name: "almaty-a-1", Value: make([]byte, 140), Expected: 1 << 30}},
		{"payload: call of 1 KB", wire.TypeForwardCall, api.Call{Key: "key-17", Kind: api.CallModel, Model: &api.ModelCall{Prompt: randomText(rng, 1024)}}},
		{"payload: stream, one token", wire.TypePiece, api.Piece{Offset: 100, Text: "token"}},
		{"payload: answer of 271 tokens", wire.TypeAnswer, api.CallAnswer{Program: q.Call.Program, Key: "key-17", Seq: 17, State: "done", Text: randomText(rng, 271*4), Worker: "reel-lm-4711"}},
		{"cancel", wire.TypeCancel, nil},
	}
}
