package relay

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"time"
)

const (
	// alpn names the relay protocol and its version.
	alpn = "indigoyoke-relay/1"
	// keyInfo binds the key derived from the secret to this use.
	keyInfo = "indigoyoke relay identity v1"
	// certLife is nominal: peers check the key, not the dates, because
	// their clocks may differ by more than any life worth giving.
	certLife = 24 * time.Hour
)

var errNotAPeer = errors.New("relay: certificate key is not derived from the shared secret")

// tlsConfig returns the configuration for both sides of a relay connection.
// All entry instances of an installation share a secret in their settings;
// each derives the same Ed25519 key from it, and both sides accept only a
// certificate of that key. Without it, any process that reaches the port
// could put a configuration of its own in force.
func tlsConfig(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	now := time.Now()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: now.Add(-certLife), NotAfter: now.Add(certLife)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		// Certificate chains and names say nothing here; VerifyConnection
		// checks the one thing that does.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return checkPeer(s, key.Public().(ed25519.PublicKey))
		},
		NextProtos: []string{alpn},
	}, nil
}

func checkPeer(s tls.ConnectionState, want ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return errNotAPeer
	}
	got, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(got, want) {
		return errNotAPeer
	}
	return nil
}
