// Package certificate serves TLS with a certificate from files, which is read
// again when the files change, without a restart.
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
	// lookPeriod is the time from one look at the files to the next.
	lookPeriod = 2 * time.Second
	// ringSize is the capacity of the duty's ring; a full one refuses, since a
	// look that is queued serves all who want one.
	ringSize = 1
)

// Settings name the files in PEM. Without them a server speaks plain TCP.
type Settings struct {
	// Certificate is the file of the certificate and its chain.
	Certificate string `ini:"certificate" validate:"required_with=Key,omitempty,file"`
	// Key is the file of the private key.
	Key string `ini:"key" validate:"required_with=Certificate,omitempty,file"`
}

// Enabled reports whether files are named.
func (s Settings) Enabled() bool { return s.Certificate != "" }

// lookNow asks for a look at the files.
type lookNow struct{}

// Keeper is the duty that keeps the certificate up to date.
type Keeper struct {
	*duty.Duty[lookNow]

	settings Settings
	log      *logging.Logger
	// current is replaced whole by the duty. It is an atomic pointer since
	// every handshake reads it and none may wait for the duty.
	current atomic.Pointer[tls.Certificate]

	// seen is what the files were when they were last read; the duty's own.
	seen stamp
}

// stamp tells one state of the files from another.
type stamp struct{ certificate, key time.Time }

// NewKeeper reads the files and returns the duty.
func NewKeeper(settings Settings, log *logging.Logger) (*Keeper, error) {
	k := &Keeper{settings: settings, log: log}
	k.Duty = duty.New[lookNow]("certificate", ringSize, k)
	k.seen = k.look()
	if err := k.read(); err != nil {
		return nil, err
	}
	return k, nil
}

// Config returns the TLS configuration of a server.
func (k *Keeper) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load(), nil
		},
	}
}

// LookNow asks for a look at the files before the next one is due.
func (k *Keeper) LookNow() { k.Offer(lookNow{}) }

// Handle is the duty. Files that can't be read, or do not fit each other as
// while they are being replaced, leave the former certificate in use; the next
// look tries again.
func (k *Keeper) Handle([]lookNow) time.Duration {
	now := k.look()
	if now == k.seen {
		return lookPeriod
	}
	if err := k.read(); err != nil {
		k.log.Warn("certificate_not_read", slog.String("error", err.Error()))
		return lookPeriod
	}
	k.seen = now
	k.log.Info("certificate_read", slog.String("file", k.settings.Certificate))
	return lookPeriod
}

func (k *Keeper) read() error {
	pair, err := tls.LoadX509KeyPair(k.settings.Certificate, k.settings.Key)
	if err != nil {
		return eris.Wrap(err, "reading the certificate")
	}
	k.current.Store(&pair)
	return nil
}

func (k *Keeper) look() stamp {
	return stamp{modified(k.settings.Certificate), modified(k.settings.Key)}
}

// modified returns the time of the file's last change; zero when there is no
// such file.
func modified(name string) time.Time {
	info, err := os.Stat(name)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
