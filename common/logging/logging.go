// Package logging writes numbered events with apex/log. Each event is declared once, in the file of its role,
// and stands in docs/log-events.md.
package logging

import (
	"io"
	"sort"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
)

// Level is the severity of an event.
type Level = log.Level

// Levels of events.
const (
	Debug = log.DebugLevel
	Info  = log.InfoLevel
	Warn  = log.WarnLevel
	Error = log.ErrorLevel
)

// Fields are the values of one event.
type Fields map[string]any

// Event is one kind of log line. Its number never changes and is never used again for another event.
type Event struct {
	Number  int
	Level   Level
	Message string
	// Fields names the values that the event carries.
	Fields []string
}

var (
	byNumber = map[int]*Event{}
	byName   = map[string]*Event{}
)

// Declare makes an event known. It is called from package variables only; a number that is used twice is a
// programming error.
func Declare(number int, level Level, message string, fields ...string) *Event {
	if e, ok := byNumber[number]; ok {
		panic(errors.Newf("log event %d is declared twice: %q and %q", number, e.Message, message))
	}
	e := &Event{Number: number, Level: level, Message: message, Fields: fields}
	byNumber[number] = e
	return e
}

// named declares an event that packages without a dependency on this one report by name, see Named.
func named(name string, number int, level Level, message string, fields ...string) *Event {
	e := Declare(number, level, message, fields...)
	byName[name] = e
	return e
}

// All returns the declared events by number.
func All() []*Event {
	out := make([]*Event, 0, len(byNumber))
	for _, e := range byNumber {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Emit writes one event.
func Emit(e *Event, f Fields) {
	entry := log.WithField("event", e.Number)
	if len(f) > 0 {
		entry = entry.WithFields(log.Fields(f))
	}
	switch e.Level {
	case Debug:
		entry.Debug(e.Message)
	case Info:
		entry.Info(e.Message)
	case Warn:
		entry.Warn(e.Message)
	default:
		entry.Error(e.Message)
	}
}

// Named reports events by the name under which they are declared.
type Named struct{}

// Event writes the event of that name. An unknown name is logged as such, so that no event is lost.
func (Named) Event(name string, fields map[string]any) {
	e, ok := byName[name]
	if !ok {
		e = DaemonUnknownEvent
		fields = map[string]any{"name": name}
	}
	Emit(e, fields)
}

// Setup directs all events to w. format is "json" or "text".
func Setup(w io.Writer, level, format string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return errors.Wrapf(err, "log level %q", level)
	}
	log.SetLevel(l)
	switch format {
	case "json":
		log.SetHandler(json.New(w))
	case "text":
		log.SetHandler(logfmt.New(w))
	default:
		return errors.Newf("log format %q is not one of json, text", format)
	}
	return nil
}
