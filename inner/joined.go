package inner

import (
	"encoding/binary"
	"net"
)

// yamux writes the head of a frame and its body one after the other. The head
// of a data frame is the only write that a body follows.
const (
	muxHead       = 12 // bytes
	muxTypeAt     = 1
	muxLengthAt   = 8
	muxTypeData   = 0
	joinedMostLen = 64 << 10
)

// joined joins the head and the body of each frame into one write, which saves
// a system call here and a wake-up at the peer. Yamux writes from one
// goroutine, so that no lock is needed.
type joined struct {
	net.Conn
	held []byte
}

// Write takes one of yamux' writes. A head that a body follows is held back.
func (j *joined) Write(p []byte) (int, error) {
	if len(j.held) == 0 && headOfData(p) {
		j.held = append(j.held[:0], p...)
		return len(p), nil
	}
	if len(j.held) == 0 {
		return j.Conn.Write(p)
	}
	whole := append(j.held, p...)
	j.held = whole[:0]
	if cap(whole) > joinedMostLen {
		j.held = nil
	}
	if _, err := j.Conn.Write(whole); err != nil {
		return 0, err
	}
	return len(p), nil
}

func headOfData(p []byte) bool {
	return len(p) == muxHead && p[muxTypeAt] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthAt:]) > 0
}
