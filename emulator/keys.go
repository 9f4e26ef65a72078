package emulator

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
	"time"

	"github.com/cockroachdb/errors"
)

// keyLife is how long the stand-in authority's certificates are valid.
const keyLife = 24 * time.Hour

// Authority is a stand-in for whoever signs the entries' keys.
type Authority struct {
	dir  string
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority that writes its files to a folder.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	a := &Authority{dir: dir, key: key, cert: certificate(1, keyLife)}
	a.cert.IsCA = true
	a.cert.BasicConstraintsValid = true
	a.cert.KeyUsage = x509.KeyUsageCertSign
	if a.der, err = x509.CreateCertificate(rand.Reader, a.cert, a.cert, key.Public(), key); err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return a, writePEM(a.CAFile(), "CERTIFICATE", a.der)
}

// CAFile is the authority's own certificate.
func (a *Authority) CAFile() string { return filepath.Join(a.dir, "ca.pem") }

// Sign writes a key and a certificate for it that is valid for the time given,
// which may lie in the past.
func (a *Authority) Sign(name string, life time.Duration) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.Wrap(err, "key")
	}
	cert := certificate(time.Now().UnixNano(), life)
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, key.Public(), a.key)
	if err != nil {
		return "", "", errors.Wrap(err, "certificate")
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", errors.Wrap(err, "key")
	}
	certFile, keyFile = filepath.Join(a.dir, name+"-cert.pem"), filepath.Join(a.dir, name+"-key.pem")
	if err := writePEM(certFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certFile, keyFile, writePEM(keyFile, "PRIVATE KEY", secret)
}

func certificate(serial int64, life time.Duration) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Now().Add(-keyLife),
		NotAfter:     time.Now().Add(life),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func writePEM(file, kind string, der []byte) error {
	err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
	return errors.Wrap(err, "key file")
}
