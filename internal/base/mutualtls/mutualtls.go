// Package mutualtls reads the certificates and keys of mutual TLS from the files that operators name for the links between programs and
// to etcd.
package mutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Identity names the files of mutual TLS, all in PEM. The zero value stands for links without TLS.
type Identity struct {
	Cert string // this side's certificate
	Key  string // its private key
	CA   string // certificates of the authorities, one of which must have signed the peer's certificate
}

var errNoCertificate = errors.New("the file has no valid PEM certificate")

// Complete reports whether all files are named or none is.
func (i Identity) Complete() bool {
	return (i.Cert == "") == (i.Key == "") && (i.Key == "") == (i.CA == "")
}

// Config reads the files into a configuration for clients and servers. It returns nil for the zero value.
func (i Identity) Config() (*tls.Config, error) {
	if i == (Identity{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(i.Cert, i.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate: load %s with key %s: %w", i.Cert, i.Key, err)
	}
	authorities, err := os.ReadFile(i.CA)
	if err != nil {
		return nil, fmt.Errorf("certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("certificate authorities: %s: %w", i.CA, errNoCertificate)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
