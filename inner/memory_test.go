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

// ignoringHandler ignores all frames.
type ignoringHandler struct{}

func (ignoringHandler) HandleFrame(fate.Incarnation, *Frame, func(*Frame)) {}

// fixedAddresses is an AddressResolver that maps names of instances to addresses.
type fixedAddresses map[string]string

func (f fixedAddresses) Address(instance string) (string, bool) {
	a, found := f[instance]
	return a, found
}

// BenchmarkConnection measures the memory and the goroutines that a connection takes at each
// of its two ends after it has carried heartbeats. Both ends run in this process. To judge the
// figures: in a fleet of 147 instances, a hub (an instance that exchanges heartbeats with
// those of its own zone and with the hubs of other zones) has about 70 connections.
func BenchmarkConnection(b *testing.B) {
	const peers = 60
	for range b.N {
		addresses := fixedAddresses{}
		var meshes []*Mesh
		open := func(name string) *Mesh {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			m := NewMesh(Config{
				Fleet: "f", Self: fate.Incarnation(name + ".1"), Zone: "z", Address: l.Addr().String(), Resolver: addresses, Handler: ignoringHandler{},
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
		before, goroutines := usedMemory(), runtime.NumGoroutine()
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
		time.Sleep(100 * time.Millisecond) // until the queued frames are written
		const ends = 2 * peers
		b.ReportMetric(float64(usedMemory()-before)/ends, "B/end")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/ends, "goroutines/end")
	}
}

// usedMemory returns the number of bytes of heap and stack in use after garbage collection.
func usedMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
