package tracing

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

// TestExports checks that spans are exported to a file and to an OTLP receiver over HTTP.
func TestExports(t *testing.T) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case received <- r.Method + " " + r.URL.Path:
		default:
		}
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "spans.json")
	for _, cfg := range []Config{
		{File: file, Ratio: 1, Service: "test"},
		{Endpoint: strings.TrimPrefix(server.URL, "http://"), Ratio: 1, Service: "test"},
	} {
		tracer, err := New(context.Background(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		parent := tracer.Start("", "caller")
		child := tracer.Start(parent.Traceparent(), "entry")
		if a, b := parent.Traceparent(), child.Traceparent(); len(a) != 55 || a[:36] != b[:36] {
			t.Errorf("the child span is not in the trace of its parent: traceparents %q and %q", a, b)
		}
		child.End()
		parent.End()
		if err := tracer.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-received; got != "POST /v1/traces" {
		t.Errorf("the OTLP receiver got the request %s, want POST /v1/traces", got)
	}
	raw, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(raw), `"Name":"entry"`) {
		t.Errorf("the file does not contain the span entry: %q, error %v", raw, err)
	}
}

func TestDisabledAndInvalid(t *testing.T) {
	const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	if got := Disabled().Start(traceparent, "entry").Traceparent(); got != traceparent {
		t.Errorf("a disabled tracer changed the traceparent to %q", got)
	}
	_, err := New(context.Background(), Config{File: t.TempDir()})
	if failure.FieldOf(err) != "tracing.file" {
		t.Errorf("New with a directory as the file: error %v, want one that concerns tracing.file", err)
	}
}
