package ids

import "testing"

// Guards against two different texts that are parsed as the ID of the same program.
func FuzzProgram(f *testing.F) {
	for _, s := range []string{
		"almaty-a-1.7-42", "a.1-0", "a.18446744073709551615-18446744073709551615", "a.1-01", "a.01-1", "a.+1-1", "a.1--1", ".1-1", "a-1", "a.b.1-1", "", "-", ".", "a.1-18446744073709551616",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		journal, counter, err := Program(s).Parse()
		if err != nil {
			return
		}
		if formatted := NewProgram(journal, counter); string(formatted) != s {
			t.Fatalf("program ID %q is formatted as %q after parsing", s, formatted)
		}
		host, incarnation, err := journal.Parse()
		if err != nil {
			t.Fatalf("program ID %q has the malformed journal %q: %v", s, journal, err)
		}
		if formattedJournal := NewJournal(host, incarnation); formattedJournal != journal {
			t.Fatalf("journal %q is formatted as %q after parsing", journal, formattedJournal)
		}
		if journal.Host() != host || host == "" {
			t.Fatalf("journal %q: Parse returns host %q, Host returns %q", journal, host, journal.Host())
		}
	})
}
