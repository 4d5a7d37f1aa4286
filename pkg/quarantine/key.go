// Package quarantine detects requests that crash the leafs running them, and keeps them from
// further leafs. It identifies a request by its content and not by the ID of an attempt.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies the content of a request. Every attempt has a new request ID, so only the
// content shows that the same request arrives again, at whichever instance.
//
// It is a cryptographic hash. With a weaker one, a caller could construct a request that is
// mistaken for that of another caller.
type Key [16]byte

// KeyOf returns the key of a request with the given parts. The parts must include everything that
// is sent to leafs, except for what differs between attempts.
func KeyOf(parts ...string) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:]) // A hash never returns an error.
		h.Write([]byte(part))
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// keyPrefixBytes is the number of bytes of a key that is shown in logs; it is enough to
// distinguish requests.
const keyPrefixBytes = 8

// String returns the key as shown in logs and in the state dump. It is empty for a request
// without a key.
func (k Key) String() string {
	if k == (Key{}) {
		return ""
	}
	return hex.EncodeToString(k[:keyPrefixBytes])
}
