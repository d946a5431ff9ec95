// Package certs issues certificates for tests and for test fleets on loopback addresses.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"eiderspread/internal/base/mutualtls"
)

const validity = 24 * time.Hour

// Authority is a certificate authority that writes its certificates and keys to a directory.
type Authority struct {
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func (a *Authority) write(name, kind string, der []byte) error {
	return os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

// New creates an authority and writes its certificate to ca.crt in dir.
func New(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, key: key, serial: 1}
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return a, a.write("ca.crt", "CERTIFICATE", der)
}

// Issue writes a certificate and key for name, valid for servers on 127.0.0.1 and for clients, and returns the file paths.
func (a *Authority) Issue(name string) (mutualtls.Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return mutualtls.Identity{}, err
	}
	a.serial++
	c := &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return mutualtls.Identity{}, err
	}
	text, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return mutualtls.Identity{}, err
	}
	if err := a.write(name+".crt", "CERTIFICATE", der); err != nil {
		return mutualtls.Identity{}, err
	}
	return mutualtls.Identity{Cert: filepath.Join(a.dir, name+".crt"), Key: filepath.Join(a.dir, name+".key"), CA: filepath.Join(a.dir, "ca.crt")},
		a.write(name+".key", "PRIVATE KEY", text)
}
