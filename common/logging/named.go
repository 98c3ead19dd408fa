package logging

var byName = map[string]Event{}

// named declares an event that packages without a dependency on this one report by its name, see Named.
func named(name string, number int, level Level, text string, fields ...string) Event {
	e := Declare(number, level, text, fields...)
	byName[name] = e
	return e
}

// Named reports events by the name under which they are declared.
type Named struct{}

// Event writes the event of that name. An unknown name is logged as such, so that no event is lost.
func (Named) Event(name string, fields map[string]any) {
	e, ok := byName[name]
	if !ok {
		e = DaemonUnknownEvent
		fields = Fields{"name": name}
	}
	Emit(e, fields)
}
