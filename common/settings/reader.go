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

// reader reads typed values from an INI file and collects all problems.
type reader struct {
	path      string
	file      *ini.File
	knownKeys map[string]map[string]bool // by section: the keys that were read
	problems  []Problem
}

// newReader parses a settings file. If that fails, it returns the only problem and no reader.
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

// value returns the value of a key and whether it is set and not empty. A key that is set twice is a problem.
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
		r.addProblem(section, key, strings.Join(all, ", "), "the key only once")
	}
	v := strings.TrimSpace(k.Value())
	return v, v != ""
}

func (r *reader) text(section, key string) string {
	v, _ := r.value(section, key)
	return v
}

var dnsLabelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// dnsLabel reads a required name that becomes part of object names. Dots are not allowed, because the name of a
// journal is "<host>.<incarnation>".
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

func (r *reader) address(section, key string, isRequired bool, defaultValue string) string {
	v, ok := r.value(section, key)
	if !ok && !isRequired {
		return defaultValue
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
	var list []string
	for part := range strings.SplitSeq(v, ",") {
		part = strings.TrimSpace(part)
		if !validAddress(part) {
			r.addProblem(section, key, part, "a comma-separated list of "+addressFormat)
			continue
		}
		list = append(list, part)
	}
	return list
}

// checkAdvertised adds a problem if the advertised address is an unspecified one (0.0.0.0 or ::), to which other hosts
// cannot connect.
func (r *reader) checkAdvertised(advertiseKey, listenKey, addr string) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().IsUnspecified() {
		return
	}
	r.addProblem("listen", advertiseKey, addr, fmt.Sprintf("the address of one network interface; the key is required if %s listens on all interfaces", listenKey))
}

func (r *reader) duration(section, key string, defaultValue time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < time.Millisecond || d > maxDuration {
		r.addProblem(section, key, v, "a duration with its unit from 1ms to 24h, for example 500ms, 2s or 10m")
		return 0
	}
	return d
}

func (r *reader) size(section, key string, defaultValue, maximum int64) int64 {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	n, ok := parseSize(v)
	if !ok || n < 1 || n > maximum {
		r.addProblem(section, key, v, fmt.Sprintf("a size with the unit KB or MB from 1KB to %dKB", maximum/kilobyte))
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

func (r *reader) count(section, key string, defaultValue, maximum int) int {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 || n > maximum {
		r.addProblem(section, key, v, fmt.Sprintf("a whole number from 1 to %d", maximum))
		return 0
	}
	return n
}

// number reads a finite number from 0 to maximum.
func (r *reader) number(section, key string, defaultValue, maximum float64) float64 {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0 && n <= maximum) {
		r.addProblem(section, key, v, fmt.Sprintf("a number from 0 to %g", maximum))
		return 0
	}
	return n
}

func (r *reader) oneOf(section, key, defaultValue string, allowed ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	if !slices.Contains(allowed, v) {
		r.addProblem(section, key, v, strings.Join(allowed, ", "))
		return ""
	}
	return v
}

// reportUnknown adds a problem for each section and key that was not read, in the order of the file.
func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		keys, known := r.knownKeys[section.Name()]
		if !known && section.Name() != ini.DefaultSection {
			r.addProblem(section.Name(), "", "", "the sections "+strings.Join(sortedKeys(r.knownKeys), ", "))
			continue
		}
		for _, key := range section.Keys() {
			switch {
			case !known:
				r.addProblem(section.Name(), key.Name(), key.Value(), "keys only within a section")
			case !keys[key.Name()]:
				r.addProblem(section.Name(), key.Name(), key.Value(), "the keys "+strings.Join(sortedKeys(keys), ", "))
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
