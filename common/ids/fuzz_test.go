package ids

import "testing"

// Guards against an ID that names the program of another one, because two texts are taken for the same ID.
func FuzzProgram(f *testing.F) {
	for _, s := range []string{
		"almaty-a-1.7-42", "a.1-0", "a.18446744073709551615-18446744073709551615", "a.1-01", "a.01-1", "a.+1-1", "a.1--1", ".1-1", "a-1", "a.b.1-1", "", "-", ".", "a.1-18446744073709551616",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		j, n, err := Program(s).Parse()
		if err != nil {
			return
		}
		if p := NewProgram(j, n); string(p) != s {
			t.Fatalf("program %q became %q", s, p)
		}
		h, i, err := j.Parse()
		if err != nil {
			t.Fatalf("program %q has the malformed journal %q: %v", s, j, err)
		}
		if k := NewJournal(h, i); k != j {
			t.Fatalf("journal %q became %q", j, k)
		}
		if j.Host() != h || h == "" {
			t.Fatalf("journal %q has the hosts %q and %q", j, h, j.Host())
		}
	})
}
