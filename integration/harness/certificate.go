package harness

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/certificate"
)

// IssueCertificate writes a self-signed certificate for loopback and its key to files in
// the directory.
func IssueCertificate(dir string) certificate.Settings {
	s := certificate.Settings{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	ReissueCertificate(s, "loopback")
	return s
}

// ReissueCertificate writes a new certificate with the common name to the files.
func ReissueCertificate(s certificate.Settings, name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	write := func(file, kind string, bytes []byte) {
		gomega.Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600)).To(gomega.Succeed())
	}
	write(s.Certificate, "CERTIFICATE", der)
	write(s.Key, "PRIVATE KEY", raw)
}
