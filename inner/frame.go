package inner

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/sedgehatch/sedgehatch/failure"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the maximum size of an encoded frame without its header. It is large
// enough for a job of the maximum size (api.MaxBody, 16 MiB) and the fields around it.
const MaxFrameBytes = 40 << 20

const frameHeaderBytes = 4 // length of the frame, big endian

// ReadFrame reads one frame from r. The error is Protocol if the frame exceeds MaxFrameBytes
// or is not a valid protobuf message. Errors of r are returned unchanged.
func ReadFrame(r *bufio.Reader) (*Frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, failure.Protocol.New("frame of %d bytes exceeds the maximum of %d", size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	f := &Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, failure.Protocol.Wrap(err, "cannot decode a frame")
	}
	return f, nil
}

// AppendFrame appends the wire encoding of f, including the header, to buf. The error is
// TooLarge if f exceeds MaxFrameBytes.
func AppendFrame(buf []byte, f *Frame) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, f)
	if err != nil {
		return nil, failure.Protocol.Wrap(err, "cannot encode a frame")
	}
	size := len(buf) - start - frameHeaderBytes
	if size > MaxFrameBytes {
		return nil, failure.TooLarge.New("frame of %d bytes exceeds the maximum of %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}
