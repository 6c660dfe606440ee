package certificate_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/certificate"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/logging"
)

// waitTimeout bounds waits in tests; it is reached only on failure.
const waitTimeout = 30 * time.Second

var _ = Describe("Certificate reloading", func() {
	var (
		files    certificate.Settings
		reloader *certificate.Reloader
		address  string
	)

	BeforeEach(func() {
		dir := GinkgoT().TempDir()
		files = certificate.Settings{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
		harness.ReissueCertificate(files, "first")
		var err error
		reloader, err = certificate.NewReloader(files, logging.Discard())
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
		group := duty.NewGroup(context.Background())
		group.Start(reloader)
		group.Serve(func(context.Context) error {
			_ = server.Serve(tls.NewListener(listener, reloader.Config()))
			return nil
		})
		DeferCleanup(func() {
			_ = server.Close()
			reloader.Stop()
			Expect(group.Wait()).To(Succeed())
		})
	})

	// servedName returns the common name of the certificate that the server
	// presents.
	servedName := func() string {
		connection, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connection.Close() }()
		return connection.ConnectionState().PeerCertificates[0].Subject.CommonName
	}

	It("presents a new certificate without a restart and keeps the previous one while the files do not match", func() {
		Expect(servedName()).To(Equal("first"))
		Expect(os.WriteFile(files.Key, []byte("half a key"), 0o600)).To(Succeed())
		reloader.CheckNow()
		Consistently(servedName).WithTimeout(200 * time.Millisecond).Should(Equal("first"))
		harness.ReissueCertificate(files, "second")
		Eventually(func() string {
			reloader.CheckNow()
			return servedName()
		}).WithTimeout(waitTimeout).Should(Equal("second"))
	})

	It("closes the connection of a client that does not use TLS and serves the next one", func() {
		plain, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = plain.Close() }()
		Expect(plain.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err = io.WriteString(plain, "GET / HTTP/1.1\r\nHost: gate\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(plain)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(received)).NotTo(ContainSubstring("404"))
		Expect(servedName()).To(Equal("first"))
	})

	It("returns an error when the files can't be loaded", func() {
		_, err := certificate.NewReloader(certificate.Settings{Certificate: files.Key, Key: files.Key}, logging.Discard())
		Expect(err).To(MatchError(ContainSubstring("loading the TLS certificate and key")))
	})
})
