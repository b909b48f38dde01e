package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/receiver"
)

// certificateAuthority signs certificates for 127.0.0.1.
type certificateAuthority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// path is the PEM file of the certificate.
	path string
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{dir: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.key = key
	a.certificate, err = x509.ParseCertificate(raw)
	assert.NilError(t, err)
	a.path = a.write(t, "authority", "CERTIFICATE", raw)
	return a
}

// write writes a PEM file and returns its path. The kind is the type of the PEM block.
func (a *certificateAuthority) write(t *testing.T, name, kind string, raw []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name+".pem")
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
	return path
}

// sign issues a certificate and returns the tls settings of a process that uses it.
func (a *certificateAuthority) sign(t *testing.T, name string) map[string]any {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return map[string]any{
		"certificate": a.write(t, name, "CERTIFICATE", raw), "key": a.write(t, name+"-key", "EC PRIVATE KEY", private), "authority": a.path,
	}
}

// client returns a client that trusts the authority and sends no certificate.
func (a *certificateAuthority) client() *http.Client {
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return &http.Client{Timeout: waitTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
}

// TestOnlyVerifiedAgentsJoin runs an entry with TLS and three agents: one with a
// certificate of the entry's authority, one with a certificate of another authority
// and one without a certificate. Only the first may join.
func TestOnlyVerifiedAgentsJoin(t *testing.T) {
	t.Parallel()
	trusted, other := newCertificateAuthority(t), newCertificateAuthority(t)
	const token = "a-token-of-the-operators"
	log, entry := freeAddress(t), freeAddress(t)
	start(t, "standin", "log", "--listen", log)
	start(t, "entry", "--settings", writeSettings(t, map[string]any{
		"role": "entry", "name": "entry", "zone": "a", "listen": entry, "log_service": "http://" + log,
		"operator_token": token, "tls": trusted.sign(t, "entry"),
	}))
	stranger := other.sign(t, "stranger")
	stranger["authority"] = trusted.path
	for name, tlsSettings := range map[string]map[string]any{
		"member": trusted.sign(t, "member"), "stranger": stranger, "nobody": {"authority": trusted.path},
	} {
		agent, target := freeAddress(t), freeAddress(t)
		start(t, "agent", "--settings", writeSettings(t, map[string]any{
			"role": "agent", "name": name, "zone": "a", "listen": agent, "entries": []string{entry}, "tls": tlsSettings,
		}))
		start(t, "standin", "target", "--listen", target, "--name", name, "--agent", "http://"+agent, "--kinds", "match")
	}
	operator := caller.New("https://"+entry, token, trusted.client())
	ctx := context.Background()
	eventually(t, "published", func() bool {
		_, err := operator.Publish(ctx, receiver.PublishRequest{ID: "first", CSV: testTable})
		return err == nil
	})
	eventually(t, "the member joined", func() bool {
		targets, err := operator.Targets(ctx)
		return err == nil && len(targets) > 0
	})
	// The other agents would have joined by then.
	time.Sleep(3 * time.Second)
	targets, err := operator.Targets(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].Name, "member")
	response, err := trusted.client().Get("https://" + entry + "/match")
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_, err = caller.New("https://"+entry, "another-token-altogether", trusted.client()).Targets(ctx)
	assert.ErrorContains(t, err, "token is missing or wrong")
}
