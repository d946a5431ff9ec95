package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Identity names the files of mutual TLS: a certificate and its key, and the authority whose certificates are
// taken. The zero value means none of it.
type Identity struct{ Cert, Key, CA string }

// Config reads the files. It returns nil where none are named.
func (i Identity) Config() (*tls.Config, error) {
	if i == (Identity{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(i.Cert, i.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	text, err := os.ReadFile(i.CA)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authority: %s holds no certificate", i.CA)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}, nil
}
