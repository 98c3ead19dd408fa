package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

const (
	required = true
	optional = false
)

// reader reads typed values and collects problems.
type reader struct {
	path      string
	file      *ini.File
	knownKeys map[string]map[string]bool
	problems  []Problem
}

// newReader opens a settings file.
func newReader(path string) (*reader, []Problem) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true, AllowDuplicateShadowValues: true}, path)
	if err != nil {
		return nil, []Problem{{File: path, Value: err.Error(), Allowed: "a readable INI file"}}
	}
	return &reader{path: path, file: file, knownKeys: map[string]map[string]bool{}}, nil
}

func (r *reader) addProblem(section, key, value, allowed string) {
	r.problems = append(r.problems, Problem{File: r.path, Section: section, Key: key, Value: value, Allowed: allowed})
}

// value returns the value of a key and whether it is set to something.
func (r *reader) value(section, key string) (string, bool) {
	if r.knownKeys[section] == nil {
		r.knownKeys[section] = map[string]bool{}
	}
	r.knownKeys[section][key] = true
	if !r.file.HasSection(section) || !r.file.Section(section).HasKey(key) {
		return "", false
	}
	k := r.file.Section(section).Key(key)
	if all := k.ValueWithShadows(); len(all) > 1 {
		r.addProblem(section, key, strings.Join(all, ", "), "the key once")
	}
	v := strings.TrimSpace(k.Value())
	return v, v != ""
}

func (r *reader) text(section, key string) string {
	v, _ := r.value(section, key)
	return v
}

var dnsLabelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// dnsLabel reads a name that becomes part of object names. It has no dot, because a journal is
// "<host>.<incarnation>".
func (r *reader) dnsLabel(section, key string) string {
	v, _ := r.value(section, key)
	if !dnsLabelPattern.MatchString(v) {
		r.addProblem(section, key, v, "1 to 63 lower-case letters, digits and hyphens, beginning and ending with a letter or digit")
		return ""
	}
	return v
}

const addressFormat = "IP:port, for example 127.0.0.1:8080"

func validAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() != 0
}

func (r *reader) address(section, key string, needed bool, missing string) string {
	v, ok := r.value(section, key)
	if !ok && !needed {
		return missing
	}
	if !validAddress(v) {
		r.addProblem(section, key, v, addressFormat)
		return ""
	}
	return v
}

func (r *reader) addresses(section, key string) []string {
	v, ok := r.value(section, key)
	if !ok {
		return nil
	}
	var out []string
	for part := range strings.SplitSeq(v, ",") {
		part = strings.TrimSpace(part)
		if !validAddress(part) {
			r.addProblem(section, key, part, "a comma-separated list of "+addressFormat)
			continue
		}
		out = append(out, part)
	}
	return out
}

// checkAdvertised reports an address that other hosts cannot connect to.
func (r *reader) checkAdvertised(advertise, listen, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().IsUnspecified() {
		return
	}
	r.addProblem("listen", advertise, addr, fmt.Sprintf("the address of one interface; it is required if %s listens on all of them", listen))
}

func (r *reader) duration(section, key string, missing time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return missing
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < time.Millisecond || d > maxDuration {
		r.addProblem(section, key, v, "a duration with its unit from 1ms to 24h, for example 500ms, 2s or 10m")
		return 0
	}
	return d
}

func (r *reader) size(section, key string, missing, largest int64) int64 {
	v, ok := r.value(section, key)
	if !ok {
		return missing
	}
	n, ok := parseSize(v)
	if !ok || n < 1 || n > largest {
		r.addProblem(section, key, v, fmt.Sprintf("a size with the unit KB or MB from 1KB to %dKB", largest/kilobyte))
		return 0
	}
	return n
}

func parseSize(v string) (int64, bool) {
	for suffix, unit := range map[string]int64{"KB": kilobyte, "MB": megabyte} {
		digits, ok := strings.CutSuffix(v, suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
		return n * unit, err == nil
	}
	return 0, false
}

func (r *reader) count(section, key string, missing, largest int) int {
	v, ok := r.value(section, key)
	if !ok {
		return missing
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 || n > largest {
		r.addProblem(section, key, v, fmt.Sprintf("a whole number from 1 to %d", largest))
		return 0
	}
	return n
}

func (r *reader) oneOf(section, key, missing string, allowed ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return missing
	}
	if !slices.Contains(allowed, v) {
		r.addProblem(section, key, v, strings.Join(allowed, ", "))
		return ""
	}
	return v
}

// reportUnknown reports sections and keys that no setting uses, in the order of the file.
func (r *reader) reportUnknown() {
	for _, s := range r.file.Sections() {
		keys, known := r.knownKeys[s.Name()]
		if !known && s.Name() != ini.DefaultSection {
			r.addProblem(s.Name(), "", "", "the sections "+strings.Join(sortedKeys(r.knownKeys), ", "))
			continue
		}
		for _, k := range s.Keys() {
			switch {
			case !known:
				r.addProblem(s.Name(), k.Name(), k.Value(), "keys only inside a section")
			case !keys[k.Name()]:
				r.addProblem(s.Name(), k.Name(), k.Value(), "the keys "+strings.Join(sortedKeys(keys), ", "))
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
