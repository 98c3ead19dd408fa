package logging

var eventsByName = map[string]Event{}

// declareNamed declares an event that packages without a dependency on this one report by its name, see Named.
func declareNamed(name string, number int, level Level, text string, fields ...string) Event {
	e := Declare(number, level, text, fields...)
	eventsByName[name] = e
	return e
}

// NamedLogger reports events by the name under which they are declared.
type NamedLogger struct{}

// Event writes the event of that name. An unknown name is logged as such, so that no event is lost.
func (NamedLogger) Event(name string, fields map[string]any) {
	e, ok := eventsByName[name]
	if !ok {
		e = UndeclaredEvent
		fields = Fields{"name": name}
	}
	Emit(e, fields)
}
