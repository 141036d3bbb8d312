package laburnumnode_test

import (
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

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumnode"
	"laburnumlever/laburnumsettings"
)

// selfSigned writes a self-signed certificate for 127.0.0.1.
func selfSigned(t *testing.T) laburnumsettings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	files := laburnumsettings.TLS{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "cert.pem"),
	}
	require.NoError(t, os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600))
	return files
}

// Guards against a VM with a certificate of another authority that joins the fleet or gets its catalogue.
func TestFleetRejectsForeignCertificate(t *testing.T) {
	files := selfSigned(t)
	f := newFleet(t, 3, func(s *laburnumsettings.Settings) { s.TLS = files })
	f.applyWhenEnginesKnown(0)
	for i := range f.nodes {
		f.waitServing(i)
	}
	settings := laburnumsettings.Default()
	settings.VM, settings.Zone, settings.TLS = "stranger", "rennes-a", selfSigned(t)
	settings.Listen = laburnumsettings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Backends: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	settings.Seeds = []string{f.nodes[0].Addresses().Peers}
	stranger, err := laburnumnode.New(settings)
	require.NoError(t, err)
	require.NoError(t, stranger.Start())
	t.Cleanup(stranger.Close)
	_, err = f.apply(1, "change-2", 1) // by the time it is everywhere, gossip has passed between all members
	require.NoError(t, err)
	eventually(t, "second catalogue on all VMs", func() bool { return f.nodes[2].Catalogue().Revision == 2 })
	require.Zero(t, stranger.Catalogue().Revision)
	require.NotEmpty(t, stranger.Status().View.NotReady)
	require.Len(t, f.nodes[0].Status().View.VMs, 3)
}

// Guards against a missing TLS key that is noticed only at the first connection.
func TestWrongTLSFilesFailAtStart(t *testing.T) {
	settings := laburnumsettings.Default()
	settings.VM, settings.TLS = "a", selfSigned(t)
	settings.TLS.Key = filepath.Join(t.TempDir(), "none.pem")
	settings.Listen = laburnumsettings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Backends: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	var start *laburnumlever.StartError
	_, err := laburnumnode.New(settings)
	require.ErrorAs(t, err, &start)
}
