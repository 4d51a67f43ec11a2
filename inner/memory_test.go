package inner

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
)

// deaf takes no frames.
type deaf struct{}

func (deaf) HandleFrame(fate.Incarnation, *Frame, func(*Frame)) {}

// book is a Directory.
type book map[string]string

func (b book) Address(instance string) (string, bool) { a, known := b[instance]; return a, known }

// BenchmarkConnection tells what one end of a connection holds that carries
// heartbeats, and its goroutines: a hub of a fleet of 147 has some 70.
func BenchmarkConnection(b *testing.B) {
	const peers = 60
	for range b.N {
		addresses := book{}
		var meshes []*Mesh
		open := func(name string) *Mesh {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			m := NewMesh(Config{
				Fleet: "f", Self: fate.Incarnation(name + ".1"), Zone: "z", Address: l.Addr().String(), Resolver: addresses, Handler: deaf{},
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					var d net.Dialer
					return d.DialContext(ctx, "tcp", address)
				},
				QueueOnly: true, ShareConnections: true, SilenceTimeout: func(string) time.Duration { return time.Hour },
			})
			addresses[name] = l.Addr().String()
			go m.Serve(l)
			b.Cleanup(func() { _ = l.Close(); m.Close() })
			meshes = append(meshes, m)
			return m
		}
		hub := open("hub")
		for i := range peers {
			open(fmt.Sprintf("p%02d", i))
		}
		before, goroutines := held(), runtime.NumGoroutine()
		for i := range peers {
			peer := fate.Incarnation(fmt.Sprintf("p%02d.1", i))
			if _, err := hub.Connect(peer.Instance()); err != nil {
				b.Fatal(err)
			}
			e, err := EncodeFrame(&Frame{Body: &Frame_Presence{Presence: &Presence{Claims: []*Claim{{Group: "zone-a/0"}}}}})
			if err != nil {
				b.Fatal(err)
			}
			for range 20 {
				if err := hub.SendHeartbeat(peer, e); err != nil {
					b.Fatal(err)
				}
			}
		}
		time.Sleep(100 * time.Millisecond) // what is queued is written
		const ends = 2 * peers
		b.ReportMetric(float64(held()-before)/ends, "B/end")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/ends, "goroutines/end")
	}
}

// held is what the process holds in heap and stacks after a collection.
func held() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
