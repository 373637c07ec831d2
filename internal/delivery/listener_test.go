package delivery

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/delivery/deliverytest"
)

const responseBytes = 30_000

// Guards against a response that net/http cuts off because its caller reads it slowly and sends more
// while the server stops, and against a stop that does not wait for that caller.
func TestListenerKeepsTheResponseOfAStoppingServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := NewListener(l)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
	})}
	go func() { _ = server.Serve(listener) }()
	caller := deliverytest.Dial(t, l.Addr().String())
	caller.Send(t, http.MethodGet, "/1", "")
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, server.Shutdown(ctx))
	stopped := make(chan struct{})
	go func() {
		listener.Wait(ctx)
		close(stopped)
	}()
	time.Sleep(400 * time.Millisecond)
	caller.Send(t, http.MethodGet, "/2", "")
	response, err := caller.Response()
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), responseBytes)
	select {
	case <-stopped:
		t.Error("the stop has not waited for the caller")
	default:
	}
	assert.NilError(t, caller.Close())
	<-stopped
	assert.NilError(t, ctx.Err())
}
