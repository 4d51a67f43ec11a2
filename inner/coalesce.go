package inner

import (
	"encoding/binary"
	"net"
)

// The format of the header of a yamux frame. yamux writes the header and the body of a frame
// in two separate writes. Only data frames with a length above zero have a body.
const (
	muxHeaderBytes     = 12
	muxTypeOffset      = 1
	muxLengthOffset    = 8
	muxTypeData        = 0
	maxKeptBufferBytes = 64 << 10 // larger buffers are not kept for the next frame
)

// coalescingConn combines the header and the body of each yamux frame into one write.
// This saves a system call here, and at the peer a wake-up of the goroutine that reads the
// connection. It needs no lock, because yamux writes from a single goroutine.
type coalescingConn struct {
	net.Conn
	heldHeader []byte // header whose body has not been written yet
}

// Write implements net.Conn. It holds a header that is followed by a body back until yamux
// writes the body.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.heldHeader) == 0 && isDataHeader(p) {
		c.heldHeader = append(c.heldHeader[:0], p...)
		return len(p), nil
	}
	if len(c.heldHeader) == 0 {
		return c.Conn.Write(p)
	}
	frame := append(c.heldHeader, p...)
	c.heldHeader = frame[:0]
	if cap(frame) > maxKeptBufferBytes {
		c.heldHeader = nil
	}
	if _, err := c.Conn.Write(frame); err != nil {
		return 0, err
	}
	return len(p), nil
}

// isDataHeader reports whether p is the header of a data frame that has a body.
func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
