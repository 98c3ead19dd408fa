package testbed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/standin/engine"
)

const (
	// queryTimeout bounds one request to a host, which may be frozen.
	queryTimeout = 3 * time.Second
	// retryDelay is the delay before a caller sends a request again.
	retryDelay = 100 * time.Millisecond
)

// Do sends one request to the HTTP API at the address. An error answer is returned as *fault.Error.
func (b *Cluster) Do(ctx context.Context, address, method, path string, in, out any) error {
	resp, err := b.send(ctx, address, method, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var e api.ErrorAnswer
		if err := json.Unmarshal(body, &e); err != nil || e.Error == nil {
			return fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, body)
		}
		if a, ok := out.(*api.CallAnswer); ok {
			_ = json.Unmarshal(body, a) // the response of a failed call also has the fields of api.CallAnswer
		}
		return e.Error
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(body, out)
}

func (b *Cluster) send(ctx context.Context, address, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		j, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(j)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	return b.client.Do(req)
}

// LookupHosts returns the hosts to use for the program, or for a new program if program is empty. It sends the
// request to via or, if via is nil, to each host in order until one responds.
func (b *Cluster) LookupHosts(ctx context.Context, via *Host, program string) (api.HostsAnswer, error) {
	var a api.HostsAnswer
	err := errors.New("the cluster has no hosts")
	hosts := b.Hosts
	if via != nil {
		hosts = []*Host{via}
	}
	for _, h := range hosts {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		err = b.Do(queryCtx, h.HTTPAddress, http.MethodGet, "/v1/hosts?program="+url.QueryEscape(program), nil, &a)
		cancel()
		if err == nil && len(a.Hosts) > 0 {
			return a, nil
		}
	}
	return a, err
}

// Stream sends a call whose answer is streamed and calls emit, which may be nil, for each piece. It returns the
// concatenated text; a gap between pieces or an overlap is an error.
func (b *Cluster) Stream(ctx context.Context, address, program string, call api.Call, emit func(api.Piece)) (string, api.CallAnswer, error) {
	call.Stream = true
	var answer api.CallAnswer
	resp, err := b.send(ctx, address, http.MethodPost, "/v1/programs/"+program+"/calls", call)
	if err != nil {
		return "", answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		var e api.ErrorAnswer
		if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || e.Error == nil {
			return "", answer, fmt.Errorf("stream call %q of program %s from %s: %s", call.Key, program, address, resp.Status)
		}
		return "", answer, e.Error
	}
	var text strings.Builder
	tokens, event := 0, ""
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		if name == "event" {
			event = value
		}
		if name != "data" {
			continue
		}
		switch event {
		case "piece":
			var p api.Piece
			if err := json.Unmarshal([]byte(value), &p); err != nil {
				return text.String(), answer, err
			}
			if p.Offset != tokens {
				return text.String(), answer, fmt.Errorf("a piece starts at token %d, expected %d", p.Offset, tokens)
			}
			tokens += len(strings.Fields(p.Text))
			text.WriteString(p.Text)
			if emit != nil {
				emit(p)
			}
		case "answer":
			if err := json.Unmarshal([]byte(value), &answer); err != nil {
				return text.String(), answer, err
			}
			if answer.Error != nil {
				return text.String(), answer, answer.Error
			}
			return text.String(), answer, nil
		case "error":
			var e api.ErrorAnswer
			if err := json.Unmarshal([]byte(value), &e); err != nil {
				return text.String(), answer, err
			}
			return text.String(), answer, e.Error
		}
	}
	return text.String(), answer, errors.Join(io.ErrUnexpectedEOF, lines.Err())
}

// CallWithRetry sends a call to the home of the program. After each retryable error it looks the home up and sends
// the call again under the same key, until ctx is done.
func (b *Cluster) CallWithRetry(ctx context.Context, program string, call api.Call) (api.CallAnswer, error) {
	for {
		var a api.CallAnswer
		hosts, err := b.LookupHosts(ctx, nil, program)
		if err == nil {
			err = b.Do(ctx, hosts.Hosts[0].Address, http.MethodPost, "/v1/programs/"+program+"/calls", call, &a)
		}
		if err == nil || !retryable(err) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, errors.Join(err, ctx.Err())
		case <-time.After(retryDelay):
		}
	}
}

// retryable reports whether a caller sends the call again after err. Connection errors are retryable, because the
// key prevents a second execution.
func retryable(err error) bool {
	var f *fault.Error
	if !errors.As(err, &f) {
		return true
	}
	switch f.Code {
	case fault.CodeMoved, fault.CodePeerUnreachable, fault.CodeStoreUnavailable, fault.CodeDraining, fault.CodeOverloaded:
		return true
	}
	return f.Code == fault.CodeNotFound && f.Outcome == fault.OutcomeNotRun
}

// CheckHistory returns the first difference between a history and the expected one: turns numbered from 1,
// and each model turn answered with the engine's deterministic answer to the turns before it. A turn that was
// lost, moved or taken from another program changes every later answer.
func CheckHistory(h api.History, systemPrompt string, maxTokens int) error {
	var contents []string
	if systemPrompt != "" {
		contents = append(contents, systemPrompt)
	}
	for i, t := range h.Turns {
		if t.Seq != i+1 {
			return fmt.Errorf("turn %d has seq %d", i+1, t.Seq)
		}
		if t.Error != nil {
			continue
		}
		if t.Kind != api.CallModel {
			contents = append(contents, string(t.Kind)+" "+t.Request+"\n"+t.Answer)
			continue
		}
		words, _ := engine.Answer(append(contents, t.Request), maxTokens)
		if want := strings.Join(words, " "); strings.TrimSpace(t.Answer) != want {
			return fmt.Errorf("turn %d (key %q) has the answer %q, not %q", t.Seq, t.Key, t.Answer, want)
		}
		contents = append(contents, t.Request, t.Answer)
	}
	return nil
}

// Await calls check until it returns nil, or until ctx is done; then it returns the last error.
func Await(ctx context.Context, check func() error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return err
		}
	}
}

// ApplyTicket applies a ticket through a host.
func (b *Cluster) ApplyTicket(ctx context.Context, h *Host, t config.Ticket) error {
	return b.Do(ctx, h.HTTPAddress, http.MethodPost, "/v1/tickets", t, nil)
}

// CheckTicketInForce returns an error if another ticket than number is in force at the host.
func (b *Cluster) CheckTicketInForce(ctx context.Context, h *Host, number uint64) error {
	list, err := b.Members(ctx, h)
	if err != nil {
		return err
	}
	for _, m := range list {
		if string(m.Name) == h.Name && m.Ticket == number {
			return nil
		}
	}
	return fmt.Errorf("ticket %d is not in force at host %s: %+v", number, h.Name, list)
}

// Members returns the member list of a host.
func (b *Cluster) Members(ctx context.Context, h *Host) ([]api.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var a api.Members
	err := b.Do(ctx, h.HTTPAddress, http.MethodGet, "/v1/members", nil, &a)
	return a.Members, err
}
