package turns

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/wire"
)

// callWithin is call with a bound on the time until each part of the answer.
func callWithin[T any](ctx context.Context, stalled time.Duration, node *wire.Node, address string, t wire.Type, request any, handle func(T) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(stalled, func() { cancel(errors.Newf("no answer of %s for %v", address, stalled)) })
	defer timer.Stop()
	err := call(ctx, node, address, t, request, func(part T) error {
		timer.Reset(stalled)
		return handle(part)
	})
	if err != nil && ctx.Err() != nil {
		err = errors.CombineErrors(context.Cause(ctx), err)
	}
	return err
}

// call sends a request and passes the parts of the answer to handle.
func call[T any](ctx context.Context, node *wire.Node, address string, t wire.Type, request any, handle func(T) error) error {
	x, err := node.Open(ctx, address, t, request)
	if err != nil {
		return err
	}
	defer x.Close()
	for {
		piece, err := x.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var part T
		if err := piece.Decode(&part); err != nil {
			return errors.Wrapf(err, "decode answer of %s", address)
		}
		if err := handle(part); err != nil {
			return err
		}
	}
}
