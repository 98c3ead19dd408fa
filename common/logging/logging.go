// Package logging writes numbered events. Each event is declared once, in an events_*.go file of this package, and
// described in docs/log-events.md.
package logging

import (
	"fmt"
	"io"
	"os"
	"slices"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/cockroachdb/errors"
)

// Level is the severity of an event.
type Level = log.Level

const (
	Debug   Level = log.DebugLevel
	Info    Level = log.InfoLevel
	Warning Level = log.WarnLevel
	Error   Level = log.ErrorLevel
)

// Fields are the values of an event. Errors and fmt.Stringers are written as text.
type Fields map[string]any

// Event is a declared log event. Its number is stable: it is never reused for another event.
type Event struct {
	Number int
	Level  Level
	Text   string
	Fields []string // names of the fields that Emit may set
}

var declaredEvents = map[int]Event{}

// Declare declares an event. It panics if the number is already declared. It is not safe for concurrent use: call it
// only to initialize package variables.
func Declare(number int, level Level, text string, fields ...string) Event {
	if _, ok := declaredEvents[number]; ok {
		panic(fmt.Sprintf("log event %d is declared twice", number))
	}
	e := Event{Number: number, Level: level, Text: text, Fields: fields}
	declaredEvents[number] = e
	return e
}

// Events returns all declared events, sorted by number.
func Events() []Event {
	out := make([]Event, 0, len(declaredEvents))
	for _, e := range declaredEvents {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return a.Number - b.Number })
	return out
}

// Values of Options.Format.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// Options configures the log of the process.
type Options struct {
	Level  string    // debug, info, warn or error; "" is info
	Format string    // FormatJSON or FormatText; "" is JSON
	Host   string    // added to each line as the field "host" unless empty
	Output io.Writer // os.Stderr if nil
}

var currentLogger atomic.Pointer[log.Entry]

func init() {
	if err := Setup(Options{}); err != nil {
		panic(err)
	}
}

// Setup replaces the logger of the process. Before the first call, events of level info and above go to stderr as
// JSON. It returns an error for an unknown level or format.
func Setup(o Options) error {
	if o.Output == nil {
		o.Output = os.Stderr
	}
	if o.Level == "" {
		o.Level = Info.String()
	}
	level, err := log.ParseLevel(o.Level)
	if err != nil {
		return errors.Wrapf(err, "log level %q", o.Level)
	}
	logger := &log.Logger{Level: level}
	switch o.Format {
	case "", FormatJSON:
		logger.Handler = json.New(o.Output)
	case FormatText:
		logger.Handler = text.New(o.Output)
	default:
		return errors.Newf("log format %q is not %s or %s", o.Format, FormatJSON, FormatText)
	}
	entry := log.NewEntry(logger)
	if o.Host != "" {
		entry = entry.WithField("host", o.Host)
	}
	currentLogger.Store(entry)
	return nil
}

// fieldEvent holds the number of the event; fieldUndeclared lists fields that the event does not declare.
const (
	fieldEvent      = "event"
	fieldUndeclared = "undeclared_fields"
)

// Emit writes an event. Fields that the event does not declare are written, too, and listed in the field
// undeclared_fields, so that a test can detect them.
func Emit(e Event, fields Fields) {
	out := log.Fields{fieldEvent: e.Number}
	var undeclared []string
	for k, v := range fields {
		if !slices.Contains(e.Fields, k) {
			undeclared = append(undeclared, k)
		}
		switch v := v.(type) {
		case error:
			out[k] = v.Error()
		case fmt.Stringer:
			out[k] = v.String()
		default:
			out[k] = v
		}
	}
	if len(undeclared) > 0 {
		slices.Sort(undeclared)
		out[fieldUndeclared] = undeclared
	}
	entry := currentLogger.Load().WithFields(out)
	switch e.Level {
	case Debug:
		entry.Debug(e.Text)
	case Info:
		entry.Info(e.Text)
	case Warning:
		entry.Warn(e.Text)
	default:
		entry.Error(e.Text)
	}
}
