package laburnumpeer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"laburnumlever/laburnumpeer"

	"github.com/stretchr/testify/require"
)

// identity writes a key and a self-signed certificate for 127.0.0.1, its own authority, to dir. It
// returns the option that uses them.
func identity(t *testing.T, dir string) laburnumpeer.Option {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	cert, private := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(private, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return laburnumpeer.WithTLS(cert, private, cert)
}

// Guards against answering callers of an unknown authority, and renewed certificates that need a restart.
func TestMutualTLSRejectsUnknownCertificatesAndReloadsFiles(t *testing.T) {
	dir := t.TempDir()
	files := identity(t, dir)
	b := laburnumpeer.New("b", files)
	b.Handle("echo", echo)
	address := serve(t, b)
	call := func(opts ...laburnumpeer.Option) error {
		a := laburnumpeer.New("a", opts...)
		defer a.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return a.Call(ctx, address, "echo", text{Text: "x"}, nil)
	}
	require.NoError(t, call(files))
	require.Error(t, call())
	require.Error(t, call(identity(t, t.TempDir())))

	renewed := identity(t, dir)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"cert.pem", "key.pem"} {
		require.NoError(t, os.Chtimes(filepath.Join(dir, name), later, later))
	}
	require.NoError(t, call(renewed))
}
