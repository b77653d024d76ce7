package health

// LimitStatement tells whether a response says how much its server takes.
type LimitStatement string

const (
	// LimitUnstated means that nothing is known: there is no response, or its limit is invalid.
	LimitUnstated LimitStatement = ""
	// LimitNamed is a response that names a limit.
	LimitNamed LimitStatement = "named"
	// LimitNone is a response that names none.
	LimitNone LimitStatement = "none"
)

// Limit is what a response says about the requests that its backend server takes from all VMs
// together.
type Limit struct {
	Stated LimitStatement
	// PerSecond is the rate in requests per second, if it is named.
	PerSecond float64
}
