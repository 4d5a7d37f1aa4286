package wire

// Paths of the configuration service and of the instance list, as served by this project's
// stand-in for them.
const (
	PathConfig         = "/v1/config"
	PathConfigWatch    = "/v1/config/watch"
	PathConfigPatch    = "/v1/config/patch"
	PathInstances      = "/v1/instances"
	PathInstanceReport = "/v1/instances/report"
	// PathInstanceWatch long-polls the instance list for the rows that changed after a
	// version.
	PathInstanceWatch = "/v1/instances/watch"
)

// Paths of a backend server.
const (
	PathLeaf       = "/v1/leaf"
	PathLeafCancel = "/v1/leaf/cancel"
)
