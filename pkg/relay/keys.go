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
	// alpn is the name and version of the protocol for ALPN.
	alpn = "indigoyoke-relay/1"
	// keyInfo is the HKDF info parameter, which binds the key derived from the secret to
	// this use.
	keyInfo = "indigoyoke relay identity v1"
	// certValidity is the validity period in the certificate, before and after its creation.
	// Peers check only the key and not the dates, because their clocks may differ by more
	// than any reasonable validity period.
	certValidity = 24 * time.Hour
)

var errUntrustedPeer = errors.New("relay: certificate key is not derived from the shared secret")

// tlsConfig returns the TLS configuration for both sides of a connection. All entry
// instances of an installation have the same secret in their settings. Each derives the
// same Ed25519 key from it, and both sides accept only a certificate with that key.
// Without this check, any process that can reach the port could put a configuration of
// its own in force.
func tlsConfig(secret string) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	now := time.Now()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: now.Add(-certValidity), NotAfter: now.Add(certValidity)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		// The certificates are self-signed, so chains and names prove nothing;
		// VerifyConnection checks the key instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeerKey(s, key.Public().(ed25519.PublicKey))
		},
		NextProtos: []string{alpn},
	}, nil
}

// verifyPeerKey returns an error unless the peer's certificate has the wanted key.
func verifyPeerKey(s tls.ConnectionState, want ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return errUntrustedPeer
	}
	got, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(got, want) {
		return errUntrustedPeer
	}
	return nil
}
