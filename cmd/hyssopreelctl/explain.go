package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"ID of a request or a program, or a fingerprint"`
		Files []string `positional-arg-name:"LOG" required:"1" description:"log files of hosts; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a host's log.
type logLine struct {
	Time    time.Time                  `json:"timestamp"`
	Message string                     `json:"message"`
	Fields  map[string]json.RawMessage `json:"fields"`
}

const maxLogLineBytes = 1 << 20

// hostEventNumbers are the numbers of the log events that concern all requests of a host: configuration in force,
// hosts that join and leave, and access to the store. Those shortly before and during a request are shown with it.
var hostEventNumbers = []string{"1100", "1101", "1120", "1141", "1143", "1150", "1151", "1171", "1700", "1701"}

// hostEventWindow is the time before the first line of the request from which host events are shown.
const hostEventWindow = 3 * time.Second

func (c *explainCommand) run(a *app) error {
	lines, err := c.readLogs(a)
	if err != nil {
		return err
	}
	selected := selectLines(lines, c.Args.ID)
	if len(selected) == 0 {
		return fmt.Errorf("no log line mentions the request, program or fingerprint %q (%d lines of %d log files read); give the log of each host",
			c.Args.ID, len(lines), len(c.Args.Files))
	}
	if a.Output == "json" {
		return json.NewEncoder(a.stdout).Encode(selected)
	}
	for _, l := range selected {
		if _, err := fmt.Fprintf(a.stdout, "%s  %s  %s  %s\n", l.Time.Format("15:04:05.000"), l.field("host"), l.field("event"), l.formatted()); err != nil {
			return err
		}
	}
	return nil
}

func (c *explainCommand) readLogs(a *app) ([]logLine, error) {
	var out []logLine
	for _, name := range c.Args.Files {
		r := a.stdin
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, err
			}
			defer func() { _ = f.Close() }()
			r = f
		}
		lines, err := readLog(r)
		if err != nil {
			return nil, errors.Wrapf(err, "log %s", name)
		}
		out = append(out, lines...)
	}
	slices.SortStableFunc(out, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	return out, nil
}

// readLog returns the lines that hold an event in JSON and ignores other lines. Text before the JSON is ignored.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(s.Bytes()[start:], &l) == nil && l.Fields != nil {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// selectLines returns the lines that mention the request, program or fingerprint, and the host events of its hosts at that
// time.
func selectLines(lines []logLine, id string) []logLine {
	hosts := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if !l.mentions(id) {
			continue
		}
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
		hosts[l.field("host")] = true
		if home := l.field("home"); home != "" {
			hosts[home] = true
		}
	}
	var out []logLine
	for _, l := range lines {
		hostEvent := hosts[l.field("host")] && slices.Contains(hostEventNumbers, l.field("event")) &&
			!l.Time.Before(first.Add(-hostEventWindow)) && !l.Time.After(last)
		if l.mentions(id) || hostEvent {
			out = append(out, l)
		}
	}
	return out
}

func (l logLine) mentions(id string) bool {
	return l.field("request") == id || l.field("program") == id || l.field("fingerprint") == id
}

// field returns the value of a field without quotes, "" if there is none.
func (l logLine) field(name string) string { return strings.Trim(string(l.Fields[name]), `"`) }

// formatted returns the message and the fields that have no column of their own.
func (l logLine) formatted() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		if n != "host" && n != "event" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString(l.Message)
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%s", n, l.Fields[n])
	}
	return b.String()
}
