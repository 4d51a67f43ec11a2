// Package inner implements the protocol between sedgehatch's own instances: protobuf
// frames in yamux streams over TCP, and the mesh of connections that carries them.
//
// An instance is one process of the fleet, and its peers are the other instances. An
// incarnation is one run of an instance: after a restart, the instance is a new incarnation.
// The hello is the first frame in each direction of a stream; in it, the two instances of a
// connection identify themselves.
//
// A frame is a one-way message, a request or a reply. A lane is one of the two yamux streams
// of a connection: one carries small control frames such as heartbeats, the other all bulk
// data. Frames on the same lane arrive in the order in which they were sent. Frames in
// transit are lost if the connection breaks. A sender that needs a reply then sends its
// request again; all requests of this protocol may be repeated.
//
// Some frames concern permit logs, slots or offers. A permit log is the record of task starts
// that the instance which accepted the jobs, their home, keeps and that another instance, its
// witness, replicates. A slot is room for one task on an upstream; the broker of a pool of
// upstreams grants the slots of the pool to homes. An offer hands tasks of a job to an owner,
// the instance that schedules the tasks on a group of upstreams.
package inner

//go:generate sh -c "protoc --go_out=.. --go_opt=module=github.com/sedgehatch/sedgehatch -I .. ../inner/inner.proto && sha256sum < inner.proto | cut -d\" \" -f1 > inner.proto.sum"

// Version is the version of the protocol. Both sides of a connection must use the same.
const Version = 1
