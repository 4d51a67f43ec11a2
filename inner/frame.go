package inner

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/sedgehatch/sedgehatch/failure"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one frame, in bytes: a job of the largest size and its head.
const MaxFrameBytes = 40 << 20

const frameHead = 4

// ReadFrame reads one frame. It returns a Protocol error for one that is too
// large or no Frame, and the reader's own error when that ends.
func ReadFrame(r *bufio.Reader) (*Frame, error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return nil, failure.Protocol.New("a frame of %d bytes is over %d", size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	f := &Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, failure.Protocol.Wrap(err, "a frame does not decode")
	}
	return f, nil
}

// AppendFrame appends f, as it stands on the wire, to buf.
func AppendFrame(buf []byte, f *Frame) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, f)
	if err != nil {
		return nil, failure.Protocol.Wrap(err, "a frame does not encode")
	}
	size := len(buf) - start - frameHead
	if size > MaxFrameBytes {
		return nil, failure.TooLarge.New("a frame of %d bytes is over %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}
