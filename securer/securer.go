// Package securer builds TLS configurations from a process's certificate files, for
// the commands that run entries and agents. Reading the files is its only I/O.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Files names a process's PEM files. Each may be empty.
type Files struct {
	// Certificate and Key are the process's certificate and its private key.
	Certificate string
	Key         string
	// Authority holds the trusted certificate authorities.
	Authority string
}

// ServerConfig returns the TLS configuration of a listener, or nil if f names no
// certificate, which means connections without TLS. Clients need no certificate, since
// callers and operators have none. If f names an authority, a certificate that a client
// does send must be signed by it; otherwise no client certificate is requested.
func ServerConfig(f Files) (*tls.Config, error) {
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
	config.ClientCAs, err = loadCertPool(f.Authority)
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, err
}

// ClientConfig returns the TLS configuration of a client, or nil if f names no authority,
// which means the default configuration. The client sends its certificate if f names
// one.
func ClientConfig(f Files) (*tls.Config, error) {
	if f.Authority == "" {
		return nil, nil
	}
	roots, err := loadCertPool(f.Authority)
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

// loadCertPool returns the certificate authorities in a PEM file.
func loadCertPool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, errors.Errorf("file %s of certificate authorities contains no certificate", path)
	}
	return roots, nil
}
