// Package client is a client of the HTTP API of hyssopreel. Every error is a *fault.Error; its Outcome reports
// whether the request was executed.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
)

const (
	// maxHomeAttempts bounds how often one request is sent to the home of its program, which may move meanwhile.
	maxHomeAttempts = 8
	// maxResponseBytes bounds the body of a response; a history of 280 turns with the longest answers fits.
	maxResponseBytes = 256 << 20
	// ticketAttempts bounds how often ApplyTicket sends a ticket whose outcome is unknown.
	ticketAttempts = 3
	retryDelay     = 200 * time.Millisecond
)

// Client sends requests to any host of a deployment. It is safe for concurrent use.
type Client struct {
	hosts []string
	http  *http.Client

	mu    sync.Mutex
	homes map[ids.Program]string
}

// New returns a client of the hosts, each given as "address:port" or URL. If httpClient is nil, a new http.Client
// without a timeout is used.
func New(hosts []string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{}
	}
	return &Client{hosts: slices.Clone(hosts), http: httpClient, homes: map[ids.Program]string{}}
}

// Hosts returns the hosts to use for the program, or for a new program if program is empty.
func (c *Client) Hosts(ctx context.Context, program ids.Program) (api.HostsAnswer, error) {
	path := "/v1/hosts"
	if program != "" {
		path += "?program=" + url.QueryEscape(string(program))
	}
	return sendToAnyHost[api.HostsAnswer](ctx, c, http.MethodGet, path, nil)
}

// Open opens a program. It does not send the request again after a lost response, which could open a second
// program.
func (c *Client) Open(ctx context.Context, o api.OpenProgram) (api.ProgramOpened, error) {
	var opened api.ProgramOpened
	var err error
	if o.Parent != "" {
		// The budget of a child is reserved by the home of its parent.
		opened, err = sendToHome[api.ProgramOpened](ctx, c, o.Parent, http.MethodPost, "/v1/programs", o)
	} else {
		opened, err = sendToAnyHost[api.ProgramOpened](ctx, c, http.MethodPost, "/v1/programs", o)
	}
	if err == nil && opened.Home.Address != "" {
		c.setHome(opened.ID, opened.Home.Address)
	}
	return opened, err
}

// Call runs a call and waits for its answer. For a failed call, it returns the answer together with its error. A
// call may be repeated with the same key: a non-idempotent request is not executed twice.
func (c *Client) Call(ctx context.Context, program ids.Program, call api.Call) (api.CallAnswer, error) {
	call.Stream = false
	a, err := sendToHome[api.CallAnswer](ctx, c, program, http.MethodPost, programPath(program, "/calls"), call)
	if err == nil && a.Error != nil {
		return a, a.Error
	}
	return a, err
}

// Stream is Call with a function that receives each piece of the answer. If the function returns an error, Stream
// stops reading and returns; the call itself continues.
func (c *Client) Stream(ctx context.Context, program ids.Program, call api.Call, piece func(api.Piece) error) (api.CallAnswer, error) {
	call.Stream = true
	var answer api.CallAnswer
	err := c.sendToHome(ctx, program, http.MethodPost, programPath(program, "/calls"), call, func(r response) error {
		return readStream(r, piece, &answer)
	})
	if err == nil && answer.Error != nil {
		return answer, answer.Error
	}
	return answer, err
}

// CallState returns the state and the outcome of one call.
func (c *Client) CallState(ctx context.Context, program ids.Program, key string) (api.CallAnswer, error) {
	return sendToHome[api.CallAnswer](ctx, c, program, http.MethodGet, programPath(program, "/calls/"+url.PathEscape(key)), nil)
}

// Program returns the status of a program.
func (c *Client) Program(ctx context.Context, program ids.Program) (api.ProgramStatus, error) {
	return sendToHome[api.ProgramStatus](ctx, c, program, http.MethodGet, programPath(program, ""), nil)
}

// Programs lists programs.
func (c *Client) Programs(ctx context.Context) (api.Programs, error) {
	return sendToAnyHost[api.Programs](ctx, c, http.MethodGet, "/v1/programs", nil)
}

// History returns the history of a program.
func (c *Client) History(ctx context.Context, program ids.Program) (api.History, error) {
	return sendToHome[api.History](ctx, c, program, http.MethodGet, programPath(program, "/history"), nil)
}

// End ends a program.
func (c *Client) End(ctx context.Context, program ids.Program) error {
	return c.endProgram(ctx, program, http.MethodPost, programPath(program, "/end"))
}

// Cancel cancels a program and its running call.
func (c *Client) Cancel(ctx context.Context, program ids.Program) error {
	return c.endProgram(ctx, program, http.MethodDelete, programPath(program, ""))
}

func (c *Client) endProgram(ctx context.Context, program ids.Program, method, path string) error {
	err := c.sendToHome(ctx, program, method, path, nil, ignoreBody)
	if err == nil {
		c.mu.Lock()
		delete(c.homes, program)
		c.mu.Unlock()
	}
	return err
}

// ApplyTicket applies a ticket. If the outcome is unknown, it sends the ticket again under the same tag, which is
// random if the ticket has none.
func (c *Client) ApplyTicket(ctx context.Context, t config.Ticket) (api.TicketAccepted, error) {
	if t.Tag == "" {
		t.Tag = uuid.NewString()
	}
	for attempt := 1; ; attempt++ {
		a, err := sendToAnyHost[api.TicketAccepted](ctx, c, http.MethodPost, "/v1/tickets", t)
		if err == nil || fault.From(err, "apply ticket").Outcome != fault.OutcomeUnknown || attempt == ticketAttempts {
			return a, err
		}
		if !sleep(ctx, retryDelay) {
			return a, err
		}
	}
}

// Ticket returns an accepted ticket.
func (c *Client) Ticket(ctx context.Context, number uint64) (config.Ticket, error) {
	return sendToAnyHost[config.Ticket](ctx, c, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), nil)
}

// Tickets lists the latest accepted tickets.
func (c *Client) Tickets(ctx context.Context) (api.Tickets, error) {
	return sendToAnyHost[api.Tickets](ctx, c, http.MethodGet, "/v1/tickets", nil)
}

// Members lists the hosts.
func (c *Client) Members(ctx context.Context) (api.Members, error) {
	return sendToAnyHost[api.Members](ctx, c, http.MethodGet, "/v1/members", nil)
}

// Drain requests the graceful shutdown of a host; it does not wait for its end.
func (c *Client) Drain(ctx context.Context, host ids.Host) error {
	return c.sendToAnyHost(ctx, http.MethodPost, "/v1/members/"+url.PathEscape(string(host))+"/drain", nil, ignoreBody)
}

// Backends lists the backend servers.
func (c *Client) Backends(ctx context.Context) (api.Backends, error) {
	return sendToAnyHost[api.Backends](ctx, c, http.MethodGet, "/v1/backends", nil)
}

// Pools lists the pools with the state of their workers.
func (c *Client) Pools(ctx context.Context) (api.Pools, error) {
	return sendToAnyHost[api.Pools](ctx, c, http.MethodGet, "/v1/pools", nil)
}

func programPath(program ids.Program, rest string) string {
	return "/v1/programs/" + url.PathEscape(string(program)) + rest
}

func sendToAnyHost[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var out T
	return out, c.sendToAnyHost(ctx, method, path, body, readJSON(&out))
}

func sendToHome[T any](ctx context.Context, c *Client, program ids.Program, method, path string, body any) (T, error) {
	var out T
	err := c.sendToHome(ctx, program, method, path, body, readJSON(&out))
	return out, err
}

// sendToAnyHost sends the request to the hosts in random order until one can be reached. A GET request is sent to
// another host after any connection error except a timeout.
func (c *Client) sendToAnyHost(ctx context.Context, method, path string, body any, read func(response) error) error {
	var lastErr error = fault.New(fault.CodeInvalidRequest, method+" "+path, "the client has no host addresses")
	for _, i := range rand.Perm(len(c.hosts)) {
		lastErr = c.send(ctx, c.hosts[i], method, path, body, read)
		if !unreachable(lastErr) || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

// sendToHome sends the request to the home of the program, and again to the new home if the program has moved.
func (c *Client) sendToHome(ctx context.Context, program ids.Program, method, path string, body any, read func(response) error) error {
	var lastErr error
	for attempt := range maxHomeAttempts {
		addr, err := c.lookupHome(ctx, program)
		if err != nil {
			return err
		}
		lastErr = c.send(ctx, addr, method, path, body, read)
		moved := lastErr != nil && fault.From(lastErr, path).Code == fault.CodeMoved
		if !moved && !unreachable(lastErr) && !homeNotYetFound(lastErr) {
			return lastErr
		}
		c.forgetHome(program, addr)
		// The member list of the host that returned the home may be older than the move.
		if !sleep(ctx, time.Duration(attempt)*retryDelay) {
			return lastErr
		}
	}
	return lastErr
}

// lookupHome returns the address of the program's home from the cache, or else requests it from a host.
func (c *Client) lookupHome(ctx context.Context, program ids.Program) (string, error) {
	c.mu.Lock()
	addr, ok := c.homes[program]
	c.mu.Unlock()
	if ok {
		return addr, nil
	}
	a, err := c.Hosts(ctx, program)
	if err != nil {
		return "", err
	}
	if len(a.Hosts) == 0 {
		return "", fault.New(fault.CodeNotFound, "find home", "no host has program %s; check the program ID", program)
	}
	c.setHome(program, a.Hosts[0].Address)
	return a.Hosts[0].Address, nil
}

func (c *Client) setHome(program ids.Program, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homes[program] = addr
}

func (c *Client) forgetHome(program ids.Program, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.homes[program] == addr {
		delete(c.homes, program)
	}
}

// response is the body of an HTTP response, and the request that an error about it names.
type response struct {
	body     io.Reader
	step     string
	peer     string
	readOnly bool // the request has no effect
	ctx      context.Context
}

// connectionError returns the error of a request that may have been sent and has no complete response.
func (r response) connectionError(err error) *fault.Error {
	f := fault.New(fault.CodeOutcomeUnknown, r.step, "no complete response: %s", err).WithOutcome(fault.OutcomeUnknown)
	if errors.Is(err, context.DeadlineExceeded) || r.ctx.Err() != nil {
		f.Code = fault.CodeTimeout
	}
	if r.readOnly {
		f.Outcome = fault.OutcomeNotRun
		if f.Code == fault.CodeOutcomeUnknown {
			f.Code = fault.CodePeerUnreachable
		}
	}
	return f.WithPeer(r.peer)
}

func (c *Client) send(ctx context.Context, addr, method, path string, body any, read func(response) error) error {
	step := method + " " + path
	var rd io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return fault.New(fault.CodeInvalidRequest, step, "encode the request body: %s", err)
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, baseURL(addr)+path, rd)
	if err != nil {
		return fault.New(fault.CodeInvalidRequest, step, "%s", err)
	}
	req.Header.Set("Content-Type", "application/json")
	r := response{step: step, peer: addr, readOnly: method == http.MethodGet, ctx: ctx}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return fault.New(fault.CodePeerUnreachable, step, "%s", op).WithPeer(addr)
		}
		return r.connectionError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	r.body = io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode >= http.StatusBadRequest {
		return r.statusError(resp.Status)
	}
	return read(r)
}

// statusError decodes the error of a response with a status of 400 or more.
func (r response) statusError(status string) error {
	var e api.ErrorAnswer
	if err := json.NewDecoder(r.body).Decode(&e); err != nil || e.Error == nil {
		f := fault.New(fault.CodeInternal, r.step, "response %s has no error that can be decoded", status)
		if !r.readOnly {
			f.Outcome = fault.OutcomeUnknown
		}
		return f.WithPeer(r.peer)
	}
	if e.Error.Peer == "" {
		e.Error.Peer = r.peer
	}
	return e.Error
}

func readJSON(out any) func(response) error {
	return func(r response) error {
		if err := json.NewDecoder(r.body).Decode(out); err != nil {
			return r.connectionError(err)
		}
		return nil
	}
}

func ignoreBody(response) error { return nil }

// unreachable reports whether the host could not be reached and the request may be sent to another one.
func unreachable(err error) bool {
	return err != nil && fault.From(err, "").Code == fault.CodePeerUnreachable && fault.From(err, "").Outcome == fault.OutcomeNotRun
}

// homeNotYetFound reports whether the host has no record of the program's home but may receive one soon.
func homeNotYetFound(err error) bool {
	if err == nil {
		return false
	}
	f := fault.From(err, "")
	return f.Code == fault.CodeNotFound && f.Outcome == fault.OutcomeNotRun && f.RetryAfterMS > 0
}

func baseURL(addr string) string {
	if strings.Contains(addr, "://") {
		return strings.TrimSuffix(addr, "/")
	}
	return "http://" + addr
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
