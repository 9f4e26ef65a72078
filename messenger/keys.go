package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// keysCheckInterval is how often key files are looked at again.
const keysCheckInterval = 10 * time.Second

// Keys are the key files of an entry towards its peers. They are read again
// when they change, so that keys can be replaced without a restart.
type Keys struct {
	// CertFile, KeyFile and CAFile are PEM files: the entry's certificate, its
	// key, and the certificates of the authorities that peers are trusted by.
	CertFile, KeyFile, CAFile string

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// LoadKeys reads the key files.
func LoadKeys(certFile, keyFile, caFile string) (*Keys, error) {
	k := &Keys{CertFile: certFile, KeyFile: keyFile, CAFile: caFile}
	return k, k.reload()
}

// ServerTLS returns the configuration for taking requests.
func (k *Keys) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := k.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{protocol},
				Certificates:           []tls.Certificate{*cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              roots,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientTLS returns the configuration for asking. Peers are known by the
// authority that signed them and not by a host name, since they are reached
// by IP address.
func (k *Keys) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		InsecureSkipVerify:    true, // Replaced by the check below.
		VerifyPeerCertificate: k.verifyServer,
	}
}

// verifyServer checks that a peer's certificate is in date and signed by a
// trusted authority.
func (k *Keys) verifyServer(raw [][]byte, _ [][]*x509.Certificate) error {
	_, roots := k.current()
	if len(raw) == 0 {
		return errors.New("peer has no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "certificate of the peer")
	}
	between := x509.NewCertPool()
	for _, der := range raw[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			between.AddCert(c)
		}
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "certificate of the peer")
}

// current returns the keys, read anew if their files have changed. Files that
// can't be read leave the keys as they were.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	stale := time.Since(k.checked) > keysCheckInterval
	k.mu.Unlock()
	if stale {
		_ = k.reload()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cert, k.roots
}

func (k *Keys) reload() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checked = time.Now()
	changed := latestChange(k.CertFile, k.KeyFile, k.CAFile)
	if k.cert != nil && changed.Equal(k.changed) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return errors.Wrap(err, "peer keys")
	}
	pem, err := os.ReadFile(k.CAFile)
	if err != nil {
		return errors.Wrap(err, "peer authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("%s holds no certificate", k.CAFile)
	}
	k.cert, k.roots, k.changed = &cert, roots, changed
	return nil
}

// latestChange returns when the newest of the files was written.
func latestChange(files ...string) time.Time {
	var latest time.Time
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
