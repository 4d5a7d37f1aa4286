package gateway

// Mode says for which routes a part of the overload handling is in force.
type Mode int

const (
	// Auto means the routes whose published configuration calls for it.
	Auto Mode = iota
	// On means all routes.
	On
	// Off means none.
	Off
)

// ParseMode returns the mode with the given name, and Auto for any other name.
func ParseMode(name string) Mode {
	switch name {
	case "on":
		return On
	case "off":
		return Off
	}
	return Auto
}

// For reports whether the part is in force for a route whose configuration calls for it or not.
func (m Mode) For(calledFor bool) bool { return m == On || m == Auto && calledFor }

// Overload are the settings of the decisions for leafs with too little capacity
// (docs/design/hard-load.md).
type Overload struct {
	Priorities, SingleQueue, Returns Mode
	// MinAdmittedShare is the minimum fraction (0 to 1) of the queries of a less urgent rank that
	// is admitted.
	MinAdmittedShare float64
	// ShortTimeoutTargets is the number of target latencies up to which a route's timeout is short.
	ShortTimeoutTargets float64
}
