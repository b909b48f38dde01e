// Package securer builds TLS configurations from a process's key files.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Files names a process's PEM files. Empty names mean none.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Server returns the configuration of a listener, or nil without a
// certificate. With an authority, clients that show a certificate must have one
// that it signed.
func Server(f Files) (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}}
	if f.Authority == "" {
		return config, nil
	}
	config.ClientCAs, err = pool(f.Authority)
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, err
}

// Client returns the configuration of a dialer, or nil without an authority.
func Client(f Files) (*tls.Config, error) {
	if f.Authority == "" {
		return nil, nil
	}
	roots, err := pool(f.Authority)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	if f.Certificate == "" {
		return config, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	config.Certificates = []tls.Certificate{certificate}
	return config, errors.Wrap(err, "load certificate")
}

func pool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, errors.Errorf("authority %s holds no certificate", path)
	}
	return roots, nil
}
