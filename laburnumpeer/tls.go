package laburnumpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"
)

// tlsFiles builds the configuration for mutual TLS 1.3 from files and reloads them when they change.
// Certificates are renewed while a VM runs: with those loaded at the start it would lose its links
// when they expire.
type tlsFiles struct {
	certificate, key, authorities string

	mu       sync.Mutex
	modTimes [3]time.Time
	config   *tls.Config
}

// WithTLS secures all links by mutual TLS 1.3 with the given PEM files. A certificate must name the IP
// address or host name at which its VM is reached and be signed by one of the authorities. Files are
// reloaded after they change; if that fails, the last valid ones are used.
func WithTLS(certificateFile, keyFile, authoritiesFile string) Option {
	return func(c *config) {
		c.tls = &tlsFiles{certificate: certificateFile, key: keyFile, authorities: authoritiesFile}
	}
}

// CheckTLS loads the files once, so that a wrong path or a key that does not match its certificate is
// reported at the start rather than as links that fail later. Errors: *TLSFilesError.
func CheckTLS(certificateFile, keyFile, authoritiesFile string) error {
	files := &tlsFiles{certificate: certificateFile, key: keyFile, authorities: authoritiesFile}
	_, err := files.current()
	return err
}

// current returns the configuration of the present files, reloaded if one was modified.
func (f *tlsFiles) current() (*tls.Config, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	modTimes, err := f.statModTimes()
	if err == nil && f.config != nil && modTimes == f.modTimes {
		return f.config, nil
	}
	var cfg *tls.Config
	if err == nil {
		cfg, err = f.read()
	}
	if err != nil {
		if f.config != nil {
			return f.config, nil // the files may be partly written; the next handshake retries
		}
		return nil, &TLSFilesError{Cause: err}
	}
	f.config, f.modTimes = cfg, modTimes
	return cfg, nil
}

func (f *tlsFiles) statModTimes() (modTimes [3]time.Time, err error) {
	for i, path := range []string{f.certificate, f.key, f.authorities} {
		info, err := os.Stat(path)
		if err != nil {
			return modTimes, err
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (f *tlsFiles) read() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(f.authorities)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &NoAuthorityError{File: f.authorities}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// handshake runs the TLS handshake, as a client if serverName is set and else as a server. Without TLS
// it returns conn unchanged. On an error conn is closed.
func (c *config) handshake(ctx context.Context, conn net.Conn, serverName string) (net.Conn, error) {
	if c.tls == nil {
		return conn, nil
	}
	cfg, err := c.tls.current()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, cfg)
	if serverName != "" {
		client := cfg.Clone()
		client.ServerName = serverName
		secured = tls.Client(conn, client)
	}
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}
