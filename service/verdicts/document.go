package verdicts

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/poison"
)

// maxEnds bounds the ends that are accepted in a stored record.
const maxEnds = 64

// document is the value of a stored record.
type document struct {
	Key      uint64        `json:"key,string"`
	Next     string        `json:"next,omitempty"`
	Diverged bool          `json:"diverged,omitempty"`
	Ends     []documentEnd `json:"ends"`
	// ChangedMS is when the record last changed, in Unix milliseconds: hosts that start later have no other clock in common.
	ChangedMS int64 `json:"changedMs"`
	// WriteID distinguishes this write from others of the same record.
	WriteID string `json:"writeId"`
}

type documentEnd struct {
	Server      string `json:"server"`
	StartedAtMS int64  `json:"startedAtMs"`
	Began       bool   `json:"began,omitempty"`
	Cleared     bool   `json:"cleared,omitempty"`
	// Observer is the host that observed the end, EndedMS when it did, in Unix milliseconds, and RanMS how long before that
	// the request had been sent.
	Observer string `json:"observer,omitempty"`
	EndedMS  int64  `json:"endedMs,omitempty"`
	RanMS    int64  `json:"ranMs,omitempty"`
}

func encode(r poison.Record, now time.Time) ([]byte, error) {
	d := document{Key: r.Key, Diverged: r.Diverged, ChangedMS: now.Add(-r.Age).UnixMilli(), WriteID: rand.Text()}
	if r.IsPrefix() {
		d.Next = r.Next.String()
	}
	for _, end := range r.Ends {
		d.Ends = append(d.Ends, documentEnd{
			Server: end.Server, StartedAtMS: end.StartedAtMS, Began: end.Began, Cleared: end.Cleared,
			Observer: end.Observer, EndedMS: now.Add(-end.Age).UnixMilli(), RanMS: end.Ran.Milliseconds(),
		})
	}
	return json.Marshal(d)
}

func decode(o objectapi.Object, now time.Time) (poison.Record, error) {
	var d document
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return poison.Record{}, errors.Wrap(err, "decode record")
	}
	if len(d.Ends) > maxEnds {
		return poison.Record{}, errors.Newf("record with %d ends", len(d.Ends))
	}
	r := poison.Record{Key: d.Key, Diverged: d.Diverged, Age: max(now.Sub(time.UnixMilli(d.ChangedMS)), 0)}
	if err := decodeFingerprint(&r.Fingerprint, o.Name); err != nil {
		return r, err
	}
	if d.Next != "" {
		if err := decodeFingerprint(&r.Next, d.Next); err != nil {
			return r, err
		}
	}
	for _, end := range d.Ends {
		if end.RanMS < 0 {
			return r, errors.Newf("server %q ran the request for %d ms", end.Server, end.RanMS)
		}
		if end.EndedMS == 0 { // written by an earlier version
			end.EndedMS = d.ChangedMS
		}
		r.Ends = append(r.Ends, poison.End{
			Lifetime: poison.Lifetime{Server: end.Server, StartedAtMS: end.StartedAtMS}, Began: end.Began, Cleared: end.Cleared,
			Observer: end.Observer, Age: max(now.Sub(time.UnixMilli(end.EndedMS)), 0), Ran: time.Duration(end.RanMS) * time.Millisecond,
		})
	}
	return r, nil
}

func decodeFingerprint(f *poison.Fingerprint, text string) error {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return errors.Newf("%q is no fingerprint", text)
	}
	copy(f[:], b)
	return nil
}
