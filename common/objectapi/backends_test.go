package objectapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against hosts that stop following the platform's list because of one entry that they can't decode, and against a
// list that breaks off and counts as whole.
func TestOddEntryHidesNoOtherBackend(t *testing.T) {
	good := func(name string) string {
		return `{"name":"` + name + `","pool":"p","kind":"engine","address":"10.0.0.1:80","state":"live"}`
	}
	for name, odd := range map[string]string{
		"deep nesting":      `{"name":"odd","extra":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"a number for text": `{"name":1e999}`,
		"text":              `"odd"`,
	} {
		body := `{"backends":[` + good("a") + `,` + odd + `,` + good("b") + `]}`
		sent := body
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, sent) }))
		store := NewHTTPStore(server.URL, "test", 5*time.Second)
		backends, err := store.Backends(context.Background())
		if err != nil || len(backends) != 2 || backends[0].Name != "a" || backends[1].Name != "b" {
			t.Errorf("%s: %v, error %v", name, backends, err)
		}
		sent = body[:len(body)-2]
		if backends, err := store.Backends(context.Background()); err == nil {
			t.Errorf("%s: a part of the list counts as %v", name, backends)
		}
		server.Close()
	}
}
