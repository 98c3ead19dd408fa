// Package relay sends store calls through peers while this host does not reach the store and its peers do.
package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
)

// Call sends the call to the peers (IP:port) one after the other until the store answers through one of them. The
// error is objectapi.ErrUnavailable if the store certainly executed nothing. After any other error, it may have.
func Call(ctx context.Context, node *wire.Node, peers []string, request objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	for i, peer := range peers {
		answer, err := callPeer(ctx, node, peer, len(peers)-i, request)
		switch {
		case err == nil && !errors.Is(answer.Err(), objectapi.ErrUnavailable):
			return answer, nil
		case err != nil && request.IsWrite() && fault.From(err, "relay").Outcome != fault.OutcomeNotRun:
			return answer, err
		}
	}
	return objectapi.RelayAnswer{}, objectapi.ErrUnavailable
}

// callPeer sends the call to one peer. A read gets its part of the time that remains for all peers, because the store may
// not answer that peer either.
func callPeer(ctx context.Context, node *wire.Node, peer string, peersLeft int, request objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	if deadline, ok := ctx.Deadline(); ok && !request.IsWrite() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(peersLeft))
		defer cancel()
	}
	var answer objectapi.RelayAnswer
	err := node.Call(ctx, peer, wire.TypeStoreRelay, request, &answer)
	return answer, err
}

// NewHandler returns the handler of peers' calls. s must be the host's own connection to the store, not a relay.
func NewHandler(s objectapi.Store) wire.Handler {
	return func(ctx context.Context, r *wire.Request) {
		var request objectapi.RelayRequest
		if r.Decode(&request) == nil {
			_ = r.Answer(objectapi.ServeRelay(ctx, s, request)) // fails only if the peer no longer waits
		}
	}
}
