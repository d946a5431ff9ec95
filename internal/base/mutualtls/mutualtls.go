// Package mutualtls reads the files of mutual TLS, as operators name them for links between programs and to etcd.
package mutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Identity names the files of mutual TLS, all in PEM. The zero value stands for links in the clear.
type Identity struct {
	Cert string // this side's certificate
	Key  string // its private key
	CA   string // the authorities of which one must have signed the peer's certificate
}

var errNoCertificate = errors.New("the file holds no certificate")

// Complete reports whether either all files are named or none.
func (i Identity) Complete() bool {
	return (i.Cert == "") == (i.Key == "") && (i.Key == "") == (i.CA == "")
}

// Config reads the files. It returns nil for the zero value.
func (i Identity) Config() (*tls.Config, error) {
	if i == (Identity{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(i.Cert, i.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	authorities, err := os.ReadFile(i.CA)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("authority: %s: %w", i.CA, errNoCertificate)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
