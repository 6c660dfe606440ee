// Package certificate provides a TLS configuration whose certificate is loaded
// from files and reloaded, without a restart, when the files change. It does not
// issue or renew certificates.
package certificate

import (
	"crypto/tls"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
)

const (
	// checkPeriod is the interval at which the files are checked for changes.
	checkPeriod = 2 * time.Second
	// ringSize is the capacity of the duty's ring. Requests are dropped when it is
	// full, since one queued check serves all of them.
	ringSize = 1
)

// Settings are the paths of the PEM files. Without them a server uses plain TCP.
type Settings struct {
	// Certificate is the path of the certificate with its chain.
	Certificate string `ini:"certificate" validate:"required_with=Key,omitempty,file"`
	// Key is the path of the private key.
	Key string `ini:"key" validate:"required_with=Certificate,omitempty,file"`
}

// Enabled reports whether the files are configured.
func (s Settings) Enabled() bool { return s.Certificate != "" }

// checkRequest requests a check of the files.
type checkRequest struct{}

// Reloader is the duty that reloads the certificate when its files change.
type Reloader struct {
	*duty.Duty[checkRequest]

	settings Settings
	log      *logging.Logger
	// current is replaced by the duty. It is an atomic pointer since every
	// handshake reads it and must not wait for the duty.
	current atomic.Pointer[tls.Certificate]

	// loaded holds the modification times of the files that were last loaded. Only
	// the duty uses it.
	loaded fileTimes
}

// fileTimes holds the modification times by which a change of the files is
// detected.
type fileTimes struct{ certificate, key time.Time }

// NewReloader loads the files and returns the duty. It fails when they can't be
// loaded.
func NewReloader(settings Settings, log *logging.Logger) (*Reloader, error) {
	r := &Reloader{settings: settings, log: log}
	r.Duty = duty.New[checkRequest]("certificate", ringSize, r)
	r.loaded = r.fileTimes()
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Config returns a TLS configuration for a server, which uses the current
// certificate for each handshake.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

// CheckNow requests a check of the files before the next periodic one.
func (r *Reloader) CheckNow() { r.Offer(checkRequest{}) }

// Handle reloads the certificate if its files have changed. The previous
// certificate stays in use when the files can't be read or do not match, as while
// they are being replaced; the next check retries.
func (r *Reloader) Handle([]checkRequest) time.Duration {
	modTimes := r.fileTimes()
	if modTimes == r.loaded {
		return checkPeriod
	}
	if err := r.load(); err != nil {
		r.log.Warn("certificate_not_read", slog.String("error", err.Error()))
		return checkPeriod
	}
	r.loaded = modTimes
	r.log.Info("certificate_read", slog.String("file", r.settings.Certificate))
	return checkPeriod
}

func (r *Reloader) load() error {
	pair, err := tls.LoadX509KeyPair(r.settings.Certificate, r.settings.Key)
	if err != nil {
		return eris.Wrap(err, "loading the TLS certificate and key")
	}
	r.current.Store(&pair)
	return nil
}

func (r *Reloader) fileTimes() fileTimes {
	return fileTimes{modTime(r.settings.Certificate), modTime(r.settings.Key)}
}

// modTime returns the modification time of the file; zero when it can't be read.
func modTime(name string) time.Time {
	info, err := os.Stat(name)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
