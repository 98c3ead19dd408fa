// Package ids parses and formats the identifiers of hosts, journals and programs.
//
// A journal belongs to one incarnation of a host: "almaty-a-1.7" is the journal of the seventh
// incarnation of host almaty-a-1. A program ID names the journal in which the program was opened and a
// counter: "almaty-a-1.7-42".
package ids

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Host is the name of a host, unique in a deployment and set in the settings file.
type Host string

// Journal is the name of the durable log of one incarnation of a host.
type Journal string

// Program identifies one agent program.
type Program string

// NewJournal returns the journal of one incarnation of a host.
func NewJournal(h Host, incarnation uint64) Journal {
	return Journal(string(h) + "." + strconv.FormatUint(incarnation, 10))
}

// NewProgram returns the ID of the n-th program opened in a journal.
func NewProgram(j Journal, n uint64) Program {
	return Program(string(j) + "-" + strconv.FormatUint(n, 10))
}

// Parse splits a journal into its host and incarnation.
func (j Journal) Parse() (Host, uint64, error) {
	i := strings.LastIndexByte(string(j), '.')
	if i <= 0 {
		return "", 0, errors.Newf("journal %q has no incarnation", string(j))
	}
	n, err := strconv.ParseUint(string(j[i+1:]), 10, 64)
	if err != nil || NewJournal(Host(j[:i]), n) != j {
		return "", 0, errors.Newf("journal %q has an invalid incarnation", string(j))
	}
	return Host(j[:i]), n, nil
}

// Host returns the host of the journal, or "" if the journal is malformed.
func (j Journal) Host() Host {
	h, _, err := j.Parse()
	if err != nil {
		return ""
	}
	return h
}

// Parse splits a program ID into the journal in which the program was opened and the counter.
func (p Program) Parse() (Journal, uint64, error) {
	i := strings.LastIndexByte(string(p), '-')
	if i <= 0 {
		return "", 0, errors.Newf("program ID %q has no counter", string(p))
	}
	n, err := strconv.ParseUint(string(p[i+1:]), 10, 64)
	if err != nil || string(NewProgram(Journal(p[:i]), n)) != string(p) {
		return "", 0, errors.Newf("program ID %q has an invalid counter", string(p))
	}
	j := Journal(p[:i])
	if _, _, err := j.Parse(); err != nil {
		return "", 0, errors.Wrapf(err, "program ID %q", string(p))
	}
	return j, n, nil
}
