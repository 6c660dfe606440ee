package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/certificate"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
)

// generous is reached only by a failure.
const generous = 30 * time.Second

// issue writes a certificate for loopback with the name into the files.
func issue(s certificate.Settings, name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	write := func(file, kind string, bytes []byte) {
		Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600)).To(Succeed())
	}
	write(s.Certificate, "CERTIFICATE", der)
	write(s.Key, "PRIVATE KEY", raw)
}

var _ = Describe("Keeper", func() {
	var (
		files   certificate.Settings
		keeper  *certificate.Keeper
		address string
	)

	BeforeEach(func() {
		folder := GinkgoT().TempDir()
		files = certificate.Settings{Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
		issue(files, "first")
		var err error
		keeper, err = certificate.NewKeeper(files, logging.Discard())
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
		group := duty.NewGroup(context.Background())
		group.Start(keeper)
		group.Serve(func(context.Context) error {
			_ = server.Serve(tls.NewListener(listener, keeper.Config()))
			return nil
		})
		DeferCleanup(func() {
			_ = server.Close()
			keeper.Stop()
			Expect(group.Wait()).To(Succeed())
		})
	})

	// shown returns the name on the certificate that the server shows.
	shown := func() string {
		connection, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connection.Close() }()
		return connection.ConnectionState().PeerCertificates[0].Subject.CommonName
	}

	It("shows a new certificate without a restart and keeps the former one while files do not fit", func() {
		Expect(shown()).To(Equal("first"))
		Expect(os.WriteFile(files.Key, []byte("half a key"), 0o600)).To(Succeed())
		keeper.LookNow()
		Consistently(shown).WithTimeout(200 * time.Millisecond).Should(Equal("first"))
		issue(files, "second")
		Eventually(func() string {
			keeper.LookNow()
			return shown()
		}).WithTimeout(generous).Should(Equal("second"))
	})

	It("ends the connection of a client that does not speak TLS and serves the next", func() {
		plain, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = plain.Close() }()
		Expect(plain.SetDeadline(time.Now().Add(generous))).To(Succeed())
		_, err = io.WriteString(plain, "GET / HTTP/1.1\r\nHost: gate\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		said, err := io.ReadAll(plain)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(said)).NotTo(ContainSubstring("404"))
		Expect(shown()).To(Equal("first"))
	})

	It("does not start without readable files", func() {
		_, err := certificate.NewKeeper(certificate.Settings{Certificate: files.Key, Key: files.Key}, logging.Discard())
		Expect(err).To(MatchError(ContainSubstring("reading the certificate")))
	})
})
