// Package settings reads the daemon's INI file. All problems of a file are reported at once.
package settings

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings are the settings of one host. The `ini` tags name the section and key, `default` the value of a
// key that is missing; a key without a default is required unless it is optional.
type Settings struct {
	Host       Host       `ini:"host"`
	Listen     Listen     `ini:"listen"`
	Platform   Platform   `ini:"platform"`
	Lease      Lease      `ini:"lease"`
	Membership Membership `ini:"membership"`
	Journal    Journal    `ini:"journal"`
	Limits     Limits     `ini:"limits"`
	EventLog   EventLog   `ini:"event_log"`
	Tracing    Tracing    `ini:"tracing"`
	Log        Log        `ini:"log"`
}

// Host names the host and its place.
type Host struct {
	Name          string `ini:"name" check:"name"`
	FailureDomain string `ini:"failure_domain" check:"name"`
	Region        string `ini:"region" optional:"true"`
	// DataFolder keeps a copy of the configuration; hosts without a disk leave it out.
	DataFolder string `ini:"data_folder" optional:"true" check:"folder"`
}

// Listen has the addresses, as IP:port. The advertised ones are what callers and peers connect to; they
// default to the others.
type Listen struct {
	HTTP          string `ini:"http" check:"address"`
	Peer          string `ini:"peer" check:"address"`
	AdvertiseHTTP string `ini:"advertise_http" optional:"true" check:"address"`
	AdvertisePeer string `ini:"advertise_peer" optional:"true" check:"address"`
}

// Platform is the platform's object API.
type Platform struct {
	Address string        `ini:"address" check:"address"`
	Timeout time.Duration `ini:"timeout" default:"2s"`
}

// Lease is the host's lease.
type Lease struct {
	Duration time.Duration `ini:"duration" default:"6s"`
	Renew    time.Duration `ini:"renew" default:"2s"`
}

// Membership has the heartbeat between hosts.
type Membership struct {
	Heartbeat    time.Duration `ini:"heartbeat" default:"500ms"`
	SuspectAfter time.Duration `ini:"suspect_after" default:"2s"`
}

// Journal bounds how records reach the store.
type Journal struct {
	BatchInterval time.Duration `ini:"batch_interval" default:"5ms"`
	MaxUnsaved    Bytes         `ini:"max_unsaved" default:"16MB"`
}

// Limits bound requests and times.
type Limits struct {
	MaxBody        Bytes         `ini:"max_body" default:"256KB"`
	MaxHeader      Bytes         `ini:"max_header" default:"32KB"`
	MaxQueuedCalls int           `ini:"max_queued_calls" default:"16"`
	OrderWait      time.Duration `ini:"order_wait" default:"2s"`
	IdleTimeout    time.Duration `ini:"idle_timeout" default:"30m"`
	ReconcileEvery time.Duration `ini:"reconcile_every" default:"10s"`
	DrainLimit     time.Duration `ini:"drain_limit" default:"10m"`
	RequestTimeout time.Duration `ini:"request_timeout" default:"5m"`
}

// EventLog records the reducer's events for replay.
type EventLog struct {
	Path string `ini:"path" optional:"true"`
}

// Tracing says where spans go.
type Tracing struct {
	File         string `ini:"file" optional:"true"`
	OTLPEndpoint string `ini:"otlp_endpoint" optional:"true" check:"address"`
}

// Log says how events are logged.
type Log struct {
	Level  string `ini:"level" default:"info" oneof:"debug,info,warn,error"`
	Format string `ini:"format" default:"json" oneof:"json,text"`
}

// Bytes is a size; in files with the units B, KB (1024 B) and MB.
type Bytes int

// Problem is one fault of a settings file.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// String names the fault as file, section, key, value and what is allowed.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: %s", p.File, p.Section, p.Key, p.Value, p.Allowed)
}

// loader collects the problems of one file.
type loader struct {
	file     string
	problems []Problem
}

func (l *loader) add(section, key, value, format string, args ...any) {
	l.problems = append(l.problems, Problem{File: l.file, Section: section, Key: key, Value: value, Allowed: fmt.Sprintf(format, args...)})
}

// Load reads a settings file. The settings are usable only if there are no problems.
func Load(path string) (*Settings, []Problem) {
	l := &loader{file: path}
	raw, err := os.ReadFile(path)
	if err != nil {
		l.add("", "", "", "the file must be readable: %v", err)
		return nil, l.problems
	}
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, IgnoreInlineComment: true}, raw)
	if err != nil {
		l.add("", "", "", "the file must be INI: %v", err)
		return nil, l.problems
	}
	s := &Settings{}
	l.unknownSections(f)
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		l.section(f, v.Type().Field(i).Tag.Get("ini"), v.Field(i))
	}
	s.setAdvertised()
	if len(l.problems) == 0 {
		l.crossCheck(s)
	}
	return s, l.problems
}

func (l *loader) unknownSections(f *ini.File) {
	var known []string
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		known = append(known, t.Field(i).Tag.Get("ini"))
	}
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection {
			for _, k := range sec.Keys() {
				l.add("", k.Name(), k.Value(), "keys must stand in a section")
			}
			continue
		}
		if !slices.Contains(known, sec.Name()) {
			l.add(sec.Name(), "", "", "unknown section; known are %s", strings.Join(known, ", "))
		}
	}
}

func (l *loader) section(f *ini.File, name string, v reflect.Value) {
	sec := f.Section(name)
	var known []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := field.Tag.Get("ini")
		known = append(known, key)
		value := field.Tag.Get("default")
		if sec.HasKey(key) {
			value = sec.Key(key).Value()
		}
		if value == "" {
			if field.Tag.Get("optional") != "true" {
				l.add(name, key, value, "a value is required")
			}
			continue
		}
		l.set(name, key, value, field.Tag, v.Field(i))
	}
	for _, k := range sec.Keys() {
		if !slices.Contains(known, k.Name()) {
			l.add(name, k.Name(), k.Value(), "unknown key; known are %s", strings.Join(known, ", "))
		}
	}
}

func (l *loader) set(section, key, value string, tag reflect.StructTag, v reflect.Value) {
	switch v.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			l.add(section, key, value, "a positive duration with a unit, for example 500ms, 2s or 10m")
		}
		v.SetInt(int64(d))
	case Bytes:
		n, ok := parseBytes(value)
		if !ok {
			l.add(section, key, value, "a positive size with a unit, for example 256KB or 16MB")
		}
		v.SetInt(int64(n))
	case int:
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			l.add(section, key, value, "a positive whole number")
		}
		v.SetInt(int64(n))
	case string:
		if allowed := check(value, tag); allowed != "" {
			l.add(section, key, value, "%s", allowed)
		}
		v.SetString(value)
	}
}

func parseBytes(value string) (Bytes, bool) {
	for unit, factor := range map[string]int{"KB": 1 << 10, "MB": 1 << 20} {
		if number, ok := strings.CutSuffix(value, unit); ok {
			n, err := strconv.Atoi(strings.TrimSpace(number))
			return Bytes(n * factor), err == nil && n > 0
		}
	}
	number, ok := strings.CutSuffix(value, "B")
	n, err := strconv.Atoi(strings.TrimSpace(number))
	return Bytes(n), ok && err == nil && n > 0
}

// maxNameBytes bounds host names, which stand in every program ID.
const maxNameBytes = 63

// check returns what is allowed if the value is not.
func check(value string, tag reflect.StructTag) string {
	if allowed := tag.Get("oneof"); allowed != "" && !slices.Contains(strings.Split(allowed, ","), value) {
		return "one of " + allowed
	}
	switch tag.Get("check") {
	case "address":
		host, port, err := net.SplitHostPort(value)
		if n, portErr := strconv.Atoi(port); err != nil || net.ParseIP(host) == nil || portErr != nil || n < 1 || n > 65535 {
			return "an IP address and a port, for example 10.0.0.7:7400"
		}
	case "name":
		ok := len(value) <= maxNameBytes && !strings.ContainsFunc(value, func(r rune) bool {
			return r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9')
		})
		if !ok {
			return fmt.Sprintf("at most %d lower-case letters, digits and hyphens", maxNameBytes)
		}
	case "folder":
		if info, err := os.Stat(value); err != nil || !info.IsDir() {
			return "a folder that exists"
		}
	}
	return ""
}

func (s *Settings) setAdvertised() {
	if s.Listen.AdvertiseHTTP == "" {
		s.Listen.AdvertiseHTTP = s.Listen.HTTP
	}
	if s.Listen.AdvertisePeer == "" {
		s.Listen.AdvertisePeer = s.Listen.Peer
	}
}

// crossCheck checks settings against each other.
func (l *loader) crossCheck(s *Settings) {
	if s.Lease.Renew*2 >= s.Lease.Duration {
		l.add("lease", "renew", s.Lease.Renew.String(), "less than half of duration (%s), so that one renewal may be lost", s.Lease.Duration)
	}
	if s.Membership.SuspectAfter <= 2*s.Membership.Heartbeat {
		l.add("membership", "suspect_after", s.Membership.SuspectAfter.String(), "more than two heartbeats (%s each)", s.Membership.Heartbeat)
	}
	// A record holds a request and its answer, and a segment must stay below the store's 1 MB.
	const largestBody = 256 << 10
	if s.Limits.MaxBody > largestBody {
		l.add("limits", "max_body", strconv.Itoa(int(s.Limits.MaxBody)), "at most 256KB")
	}
}
