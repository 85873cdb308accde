package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
)

// selfSigned writes a self-signed certificate for 127.0.0.1 and its key to files, and
// returns the files and a pool that contains the certificate.
func selfSigned(t *testing.T) (certFile, keyFile string, pool *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	for file, content := range map[string][]byte{certFile: certPEM, keyFile: pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded})} {
		if err := os.WriteFile(file, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return certFile, keyFile, pool
}

// TestTLS checks that, with a certificate set, the operators' API is served over TLS
// and not over plain HTTP.
func TestTLS(t *testing.T) {
	certFile, keyFile, pool := selfSigned(t)
	s := testSettings("i", "d0")
	s.TLSCert, s.TLSKey = certFile, keyFile
	d := runDaemon(t, s)
	secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
	status := func(client *http.Client, scheme string) error {
		operators := martenportv1connect.NewOperatorServiceClient(client, scheme+"://"+d.OperatorAddress())
		_, err := operators.GetStatus(t.Context(), connect.NewRequest(&martenportv1.GetStatusRequest{}))
		return err
	}
	if err := status(secure, "https"); err != nil {
		t.Errorf("status over TLS: %v", err)
	}
	if err := status(http.DefaultClient, "http"); err == nil {
		t.Error("status answered without TLS")
	}
}
