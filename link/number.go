package link

import "math/rand/v2"

// numberSpace is the range of the first number of a process. Its numbers take seven bytes in
// a message.
const numberSpace = 1 << 48

// FirstNumber returns the number from which a process numbers its requests to other VMs. It is
// drawn anew at each start: an answer to an earlier start, or what a VM still holds for it, is
// then not taken for that of a present request.
func FirstNumber() uint64 { return rand.Uint64N(numberSpace) }
