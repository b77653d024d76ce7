// Package wire contains the generated protobuf messages between the processes of a
// fleet. The schema is wire.proto. The generated code is committed, so that a build
// does not need protoc.
//
// # Usage
//
//	m := &wire.Envelope{Body: &wire.Envelope_Watch{Watch: &wire.Watch{Index: 12}}}
//	data, err := proto.Marshal(m)
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto

// Version is the highest protocol version that this program supports.
const Version = 1
