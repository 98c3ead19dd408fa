package client

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
)

// maxEventBytes bounds one line of an event; an answer of 256 KB takes up to six times as much in JSON.
const maxEventBytes = 2 << 20

// readStream calls piece for each piece until the answer or an error arrives. If the stream ends before that, the
// outcome is unknown.
func readStream(r response, piece func(api.Piece) error, answer *api.CallAnswer) error {
	lines := bufio.NewScanner(r.body)
	lines.Buffer(nil, maxEventBytes)
	for {
		name, data, err := readEvent(lines)
		if err != nil {
			return r.connectionError(err)
		}
		switch name {
		case api.EventPiece:
			var p api.Piece
			if err := json.Unmarshal(data, &p); err != nil {
				return r.connectionError(err)
			}
			if err := piece(p); err != nil {
				return fault.New(fault.CodeCanceled, r.step, "%s", err).WithPeer(r.peer).WithOutcome(fault.OutcomeUnknown)
			}
		case api.EventAnswer:
			if err := json.Unmarshal(data, answer); err != nil {
				return r.connectionError(err)
			}
			return nil
		case api.EventError:
			var e api.ErrorAnswer
			if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
				return r.connectionError(errors.New("the error event has no error that can be decoded"))
			}
			return e.Error
		}
	}
}

// readEvent returns the next server-sent event. Comments and unknown fields are skipped.
func readEvent(lines *bufio.Scanner) (name string, data []byte, err error) {
	for lines.Scan() {
		line := lines.Text()
		if line == "" {
			if data != nil {
				return name, data, nil
			}
			name = ""
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			name = value
		case "data":
			if data == nil {
				data = []byte{}
			} else {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
	}
	if err := lines.Err(); err != nil {
		return "", nil, err
	}
	return "", nil, io.ErrUnexpectedEOF
}
