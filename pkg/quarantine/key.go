// Package quarantine knows requests that end the leafs which run them, by what they ask
// and not by the ID of an attempt.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key names what a request asks of leafs. Each attempt has an ID of its own, so that only
// the content tells that a request has come again, at whichever instance.
//
// It is a cryptographic hash: with a weaker one a caller could make up a request that is
// taken for another caller's.
type Key [16]byte

// KeyOf is the key of a request with the given parts, which are everything that leafs get
// but for what differs with each attempt.
func KeyOf(parts ...string) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:]) // A hash takes everything.
		h.Write([]byte(part))
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// shownBytes is how much of a key log lines show: enough to tell requests apart.
const shownBytes = 8

// String is the key as log lines and the state dump show it, "" for a request without one.
func (k Key) String() string {
	if k == (Key{}) {
		return ""
	}
	return hex.EncodeToString(k[:shownBytes])
}
