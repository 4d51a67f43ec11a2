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

// cutter is a server that ends each connection at a chosen byte.
type cutter struct {
	listener net.Listener
	starts   atomic.Int64
	read     bool // the whole start is read before the cut
	answer   string
}

const wholeAnswer = "HTTP/1.1 200 OK\r\n" + api.HeaderState + ": finished\r\nContent-Length: 4\r\n\r\ntrue"

func startCutter(t *testing.T, read bool, answer string) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: l, read: read, answer: answer}
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

func (c *cutter) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !c.read {
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

// TestStartIsNeverSentTwice ends the connection before the start is read,
// after, and at every byte of the answer: one start leaves, and the error
// never claims that none arrived.
func TestStartIsNeverSentTwice(t *testing.T) {
	check := func(t *testing.T, c *cutter) {
		t.Helper()
		cl := NewClient("u", c.listener.Addr().String(), 4, nil)
		defer cl.CloseIdleConnections()
		_, err := start(cl)
		if !failure.Is(err, failure.Lost) {
			t.Errorf("error %v", err)
		}
		if n := c.starts.Load(); n != 1 {
			t.Errorf("%d starts arrived", n)
		}
	}
	t.Run("before it is read", func(t *testing.T) { check(t, startCutter(t, false, "")) })
	for n := range len(wholeAnswer) {
		t.Run(fmt.Sprintf("after %d bytes of the answer", n), func(t *testing.T) {
			check(t, startCutter(t, true, wholeAnswer[:n]))
		})
	}
}

// TestMutationBuiltInRetry shows that the cutter notices a client that sends
// again by itself, as the library does when it is left to.
func TestMutationBuiltInRetry(t *testing.T) {
	c := startCutter(t, true, "")
	cl := NewClient("u", c.listener.Addr().String(), 4, nil)
	cl.tasks.MaxIdemponentCallAttempts = 5
	cl.tasks.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, true }
	_, _ = start(cl)
	if n := c.starts.Load(); n < 2 {
		t.Fatalf("%d starts arrived: the check could not fail", n)
	}
}

func TestWholeAnswer(t *testing.T) {
	c := startCutter(t, true, wholeAnswer)
	r, err := start(NewClient("u", c.listener.Addr().String(), 4, nil))
	if err != nil || r.State != api.LeaseFinished || string(r.Body) != "true" {
		t.Errorf("reply %+v, %v", r, err)
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
		t.Errorf("error %v", err)
	}
}
