package topology

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the configuration, which tells configurations of the same version
// apart.
func (c *Config) Digest() uint64 {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // Cannot happen: a configuration has only values that JSON can represent.
	}
	return xxhash.Sum64(raw)
}
