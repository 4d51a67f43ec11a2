package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/valyala/fasthttp"
)

// cuttingServer is a server that closes each connection after it has sent a given text, which
// may be only the first part of an answer.
type cuttingServer struct {
	listener  net.Listener
	starts    atomic.Int64
	readStart bool // if false, connections are closed before the request is read
	answer    string
}

const completeAnswer = "HTTP/1.1 200 OK\r\n" + api.HeaderState + ": finished\r\nContent-Length: 4\r\n\r\ntrue"

func startCuttingServer(t *testing.T, readStart bool, answer string) *cuttingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cuttingServer{listener: l, readStart: readStart, answer: answer}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *cuttingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !c.readStart {
		c.starts.Add(1)
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	c.starts.Add(1)
	_, _ = conn.Write([]byte(c.answer))
}

func start(c *Client) (StartReply, error) {
	return c.Start(&StartRequest{Lease: "k/0/1", LeaseMs: 1000, Service: "desk", Task: &fate.Task{Payload: []byte("{}")}, Timeout: 5 * time.Second})
}

// TestStartIsNeverSentTwice guards against the HTTP library sending a start again when a
// connection breaks. The server closes the connection before it reads the start, after it has
// read the start, or after any byte of the answer. In each case, exactly one start must arrive,
// and the error must be Lost, not Unreachable.
func TestStartIsNeverSentTwice(t *testing.T) {
	check := func(t *testing.T, c *cuttingServer) {
		t.Helper()
		client := NewClient("u", c.listener.Addr().String(), 4, nil)
		defer client.Close()
		_, err := start(client)
		if !failure.Is(err, failure.Lost) {
			t.Errorf("error %v, want Lost", err)
		}
		if n := c.starts.Load(); n != 1 {
			t.Errorf("%d starts arrived, want 1", n)
		}
	}
	t.Run("before it is read", func(t *testing.T) { check(t, startCuttingServer(t, false, "")) })
	for n := range len(completeAnswer) {
		t.Run(fmt.Sprintf("after %d bytes of the answer", n), func(t *testing.T) {
			check(t, startCuttingServer(t, true, completeAnswer[:n]))
		})
	}
}

// TestMutationBuiltInRetry verifies that TestStartIsNeverSentTwice can fail: with the
// retries of the HTTP library enabled, the server receives a start more than once.
func TestMutationBuiltInRetry(t *testing.T) {
	c := startCuttingServer(t, true, "")
	client := NewClient("u", c.listener.Addr().String(), 4, nil)
	client.taskClient.MaxIdemponentCallAttempts = 5
	client.taskClient.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, true }
	_, _ = start(client)
	if n := c.starts.Load(); n < 2 {
		t.Fatalf("%d starts arrived, want at least 2", n)
	}
}

func TestWholeAnswer(t *testing.T) {
	c := startCuttingServer(t, true, completeAnswer)
	r, err := start(NewClient("u", c.listener.Addr().String(), 4, nil))
	if err != nil || r.State != api.LeaseFinished || string(r.Body) != "true" {
		t.Errorf("reply %+v, error %v, want the state finished and the body true", r, err)
	}
}

func TestUnreachableProvesThatNothingLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := start(NewClient("u", address, 4, nil)); !failure.Is(err, failure.Unreachable) {
		t.Errorf("error of a start to an address where nothing listens: %v, want Unreachable", err)
	}
}
