// Package inner implements the protocol between sedgehatch's own instances: protobuf
// frames in yamux streams over TCP, and the mesh of connections that carries them.
//
// A frame is a one-way message, a request or a reply. Frames of one stream arrive in
// the order in which they were sent. Frames in transit are lost if a connection breaks.
// A sender that needs a reply sends its request again; all requests of this protocol
// may be repeated.
package inner

//go:generate sh -c "protoc --go_out=.. --go_opt=module=github.com/sedgehatch/sedgehatch -I .. ../inner/inner.proto && sha256sum < inner.proto | cut -d\" \" -f1 > inner.proto.sum"

// Version is the version of the protocol. Both sides of a connection must use the same.
const Version = 1
