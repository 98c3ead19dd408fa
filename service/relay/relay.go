// Package relay makes store calls through peers, for a host that lost the store while its peers have it.
package relay

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
)

// Call makes the call through the first of the peers (addresses, IP:port) that has the store. The error is
// objectapi.ErrUnavailable if the call certainly ran nowhere.
func Call(ctx context.Context, node *wire.Node, peers []string, q objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	for _, peer := range peers {
		var answer objectapi.RelayAnswer
		err := node.Call(ctx, peer, wire.TypeRelay, q, &answer)
		switch {
		case err == nil && !errors.Is(answer.Err(), objectapi.ErrUnavailable):
			return answer, nil
		case err != nil && fault.From(err, "relay").Outcome != fault.NotRun:
			return answer, err
		}
	}
	return objectapi.RelayAnswer{}, objectapi.ErrUnavailable
}

// NewHandler returns the handler that makes peers' calls at s, which must be the host's own store.
func NewHandler(s objectapi.Store) wire.Handler {
	return func(ctx context.Context, r *wire.Request) {
		var q objectapi.RelayRequest
		if r.Decode(&q) == nil {
			_ = r.Answer(objectapi.ServeRelay(ctx, s, q)) // the asker is gone if this fails
		}
	}
}
