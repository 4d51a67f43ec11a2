// Package inner is the protocol between sedgehatch's own instances: protobuf
// frames over yamux over TCP, and the mesh of connections that carries them.
//
// A frame is a one-way message, a request or a reply. Frames of one stream
// arrive in the order in which they were sent. A connection that breaks loses
// what was on its way; whoever needs an answer sends again, which every
// request of this protocol allows.
package inner

//go:generate sh -c "protoc --go_out=.. --go_opt=module=github.com/sedgehatch/sedgehatch -I .. ../inner/inner.proto && sha256sum < inner.proto | cut -d\" \" -f1 > inner.proto.sum"

// Version is the version of the protocol; both sides must have the same.
const Version = 1
