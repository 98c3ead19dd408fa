package turns

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// serveList answers a host that asks for the turns of which it should have copies.
func (h *Host) serveList(_ context.Context, r *wire.Request, s *shelf) error {
	var request listRequest
	if err := r.Decode(&request); err != nil {
		return err
	}
	if request.Retains {
		h.recordRequest()
	}
	incarnation := h.members.incarnation()
	after := request.After
	if request.Incarnation != incarnation {
		after = 0
	}
	turns, last := s.listFor(request, after)
	for len(turns) > maxListedTurns {
		if err := r.SendPiece(listPiece{DiskID: s.disk.id, Turns: turns[:maxListedTurns]}); err != nil {
			return err
		}
		turns = turns[maxListedTurns:]
	}
	return r.Answer(listPiece{DiskID: s.disk.id, Incarnation: incarnation, Last: last, Turns: turns})
}

// serveFetch sends turns to a host that makes copies of them. It leaves out those that it does not have.
func (h *Host) serveFetch(ctx context.Context, r *wire.Request, s *shelf) error {
	var request fetchRequest
	if err := r.Decode(&request); err != nil {
		return err
	}
	release, err := h.answerBytes.acquire(ctx, 2*maxPieceBytes)
	if err != nil {
		return err
	}
	defer release()
	piece := fetchPiece{DiskID: s.disk.id}
	size := 0
	now := sinceBoot()
	for _, e := range s.lookUp(request.Turns) {
		if err := h.serveLimit.WaitN(ctx, min(e.Bytes, copyBurstBytes)); err != nil {
			return err
		}
		record, err := s.read(e)
		if errors.Is(err, turnlog.ErrCorrupt) {
			h.copier.requestRound()
			continue
		}
		if err != nil {
			return err
		}
		piece.Records, piece.Unused = append(piece.Records, record), append(piece.Unused, e.Unused(now))
		if size += e.Bytes; size >= maxPieceBytes {
			if err := r.SendPiece(piece); err != nil {
				return err
			}
			piece, size = fetchPiece{DiskID: s.disk.id}, 0
		}
	}
	return r.Answer(piece)
}
