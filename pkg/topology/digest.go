package topology

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest tells configurations of the same version apart.
func (c *Config) Digest() uint64 {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // A configuration has no values that JSON lacks.
	}
	return xxhash.Sum64(raw)
}
