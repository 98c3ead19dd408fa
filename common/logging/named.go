package logging

var eventsByName = map[string]Event{}

// declareNamed declares an event that packages without a dependency on this one emit by name through NamedLogger.
func declareNamed(name string, number int, level Level, text string, fields ...string) Event {
	e := Declare(number, level, text, fields...)
	eventsByName[name] = e
	return e
}

// NamedLogger emits events by the name under which they are declared.
type NamedLogger struct{}

// Event emits the event with the given name. An undeclared name is logged as UndeclaredEvent, without the fields.
func (NamedLogger) Event(name string, fields map[string]any) {
	e, ok := eventsByName[name]
	if !ok {
		e = UndeclaredEvent
		fields = Fields{"name": name}
	}
	Emit(e, fields)
}
