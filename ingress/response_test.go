package ingress

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/valyala/fasthttp"
)

// TestRejectionKeepsHeaders guards against rejections that do not tell when to come back, and
// against customers that stay on the connection of an instance that is shutting down.
func TestRejectionKeepsHeaders(t *testing.T) {
	for name, write := range map[string]func(*fasthttp.RequestCtx){
		"unavailable": func(ctx *fasthttp.RequestCtx) { writeUnavailable(ctx, "no room in time", 1500*time.Millisecond) },
		"invalid": func(ctx *fasthttp.RequestCtx) {
			writeError(ctx, failure.Field(failure.InvalidInput, "body", "is empty"))
		},
	} {
		var ctx fasthttp.RequestCtx
		ctx.SetConnectionClose()
		write(&ctx)
		if !ctx.Response.ConnectionClose() {
			t.Errorf("%s: the connection is not closed", name)
		}
		if after := string(ctx.Response.Header.Peek(fasthttp.HeaderRetryAfter)); name == "unavailable" && after != "2" {
			t.Errorf("%s: Retry-After is %q, want 2 s", name, after)
		}
	}
}
