package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// turn is one turn that was answered whole.
type turn struct {
	attempt, program string
	input, output    string
	answeredAt       time.Time
}

// answer is what a consumer got.
type answer struct {
	status     int
	whole      bool
	output     string // the data of each event and a line feed
	body       string
	retryAfter string
	err        error
}

// consumer sends requests to the addresses that the directory names.
type consumer struct {
	rig    *rig
	client *http.Client
}

func newConsumer(r *rig) *consumer {
	dialer := &net.Dialer{Timeout: time.Second}
	return &consumer{rig: r, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, DialContext: dialer.DialContext, IdleConnTimeout: 10 * time.Second,
	}}}
}

// addresses asks the directory of an entry host where to connect.
func (c *consumer) addresses() ([]string, error) {
	h := c.rig.hosts[0]
	for _, other := range c.rig.hosts {
		if other.role == "entry" {
			h = other
			break
		}
	}
	resp, err := c.client.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=region&zone=%s", h.ip, c.rig.ports.directory, siteName, h.zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var found struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&found)
	if err == nil && len(found.Addresses) == 0 {
		err = fmt.Errorf("the directory names no address")
	}
	return found.Addresses, err
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one turn and reads its answer.
func (c *consumer) send(address, attempt, program, previous, input string) answer {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/turns/1", io.NopCloser(strings.NewReader(input)))
	if err != nil {
		return answer{err: err}
	}
	req.ContentLength, req.Host = int64(len(input)), siteName
	for name, value := range map[string]string{
		"Hyssopreel-Attempt-Id": attempt, "Hyssopreel-Program-Id": program, "Hyssopreel-Session-Id": program, "Hyssopreel-Program-Deadline-Ms": "30000",
		"Hyssopreel-Token-Budget": "4096", "Hyssopreel-Token-Count": "1200,64", "Hyssopreel-Deadline-Ms": fmt.Sprint(timeout.Milliseconds()),
		"Hyssopreel-Model": "m", "Hyssopreel-Previous-Turn": previous,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 64<<10), 8<<20)
	for lines.Scan() {
		a.body += lines.Text() + "\n"
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			a.output += data + "\n"
		}
	}
	a.err = lines.Err()
	a.whole = a.err == nil && a.status == http.StatusOK && resp.Header.Get("Hyssopreel-Server-Stamp") != ""
	return a
}
