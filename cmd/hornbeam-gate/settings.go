package main

import (
	"time"

	"github.com/hornbeamworks/hornbeam/certificate"
	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/routing"
	"github.com/hornbeamworks/hornbeam/settings"
)

// programSettings are the sections of the gate's settings file.
type programSettings struct {
	Gate     gateSettings     `ini:"gate"`
	Platform platformSettings `ini:"platform"`
	Peers    peerSettings     `ini:"peers"`
	Domains  []domainSettings `ini:"domain.*" validate:"dive"`
	Limits   limitSettings    `ini:"limits"`
	// TLS is the certificate of the listeners for callers and operators.
	TLS certificate.Settings `ini:"tls"`
	Log logging.Settings     `ini:"log"`
	// Requests are the limits on open requests, Runtime the resources of the instance.
	Requests httpserve.LimitSettings   `ini:"requests"`
	Runtime  httpserve.RuntimeSettings `ini:"runtime"`
}

// gateSettings are the listen addresses and drain times of the process.
type gateSettings struct {
	// Listen is the address for callers, Admin the one for the admin pages.
	Listen string `ini:"listen" validate:"hostname_port"`
	Admin  string `ini:"admin" validate:"hostname_port"`
	// Operators is the address of a listener for operators only, whose
	// connections callers can't exhaust; operators are also served on Listen.
	Operators string `ini:"operators" validate:"omitempty,hostname_port"`
	// DrainTimeout bounds the time from SIGTERM to the exit of the process.
	DrainTimeout time.Duration `ini:"drain_timeout" validate:"min=1s,max=10m"`
	// DrainLinger is how long new requests are refused with a result code
	// before the listener closes, so that the load balancer stops sending
	// first.
	DrainLinger time.Duration `ini:"drain_linger" validate:"min=0s,max=1m"`
}

// platformSettings are the addresses of the platform's services.
type platformSettings struct {
	// Table is the base URL of the table service.
	Table string `ini:"table" validate:"url"`
}

// peerSettings let the gate join the membership. Without them it uses only the
// schedulers in the settings and polls the table for configuration changes.
type peerSettings struct {
	// Listen is the address for peers, Domain the gate's failure domain.
	Listen string `ini:"listen" validate:"omitempty,hostname_port"`
	Domain string `ini:"domain" validate:"required_with=Listen"`
}

// domainSettings list the schedulers of one failure domain.
type domainSettings struct {
	Name string `ini:"*"`
	// Schedulers are their addresses.
	Schedulers []string `ini:"schedulers" validate:"min=1,dive,hostname_port"`
}

// limitSettings bound the resources that callers may use.
type limitSettings struct {
	Connections   int           `ini:"connections" validate:"min=1,max=1000000"`
	HeaderBytes   int           `ini:"header_bytes" validate:"min=1024,max=1048576"`
	BodyBytes     int64         `ini:"body_bytes" validate:"min=1024,max=16777216"`
	HeaderTimeout time.Duration `ini:"header_timeout" validate:"min=100ms,max=1m"`
	BodyTimeout   time.Duration `ini:"body_timeout" validate:"min=100ms,max=5m"`
	IdleTimeout   time.Duration `ini:"idle_timeout" validate:"min=100ms,max=1h"`
	WriteTimeout  time.Duration `ini:"write_timeout" validate:"min=100ms,max=5m"`
	Requests      int           `ini:"requests" validate:"min=1,max=1000000"`
	TeamRequests  int           `ini:"team_requests" validate:"min=1,max=1000000"`
	TeamRate      float64       `ini:"team_rate" validate:"gt=0"`
	TeamBurst     int           `ini:"team_burst" validate:"min=1"`
	MaxWait       time.Duration `ini:"max_wait" validate:"min=0s,max=10m"`
}

// loadSettings reads the file over the defaults.
func loadSettings(file string) (*programSettings, error) {
	s := defaultSettings()
	if err := settings.Load(file, s); err != nil {
		return nil, err
	}
	return s, nil
}

func defaultSettings() *programSettings {
	limits, bounds := httpapi.DefaultLimits(), gate.DefaultSettings()
	return &programSettings{
		Gate: gateSettings{DrainTimeout: time.Minute, DrainLinger: time.Second},
		Log:  logging.Settings{Level: "info"},

		Requests: httpserve.DefaultLimitSettings(),
		Runtime:  httpserve.RuntimeSettings{Memory: httpserve.DefaultMemory},
		Limits: limitSettings{
			Connections:   limits.MaxConnections,
			HeaderBytes:   limits.MaxHeaderBytes,
			BodyBytes:     limits.MaxBodyBytes,
			HeaderTimeout: limits.HeaderTimeout,
			BodyTimeout:   limits.BodyTimeout,
			IdleTimeout:   limits.IdleTimeout,
			WriteTimeout:  limits.WriteTimeout,
			Requests:      bounds.MaxRequests,
			TeamRequests:  bounds.MaxPerTeam,
			TeamRate:      bounds.TeamRate,
			TeamBurst:     bounds.TeamBurst,
			MaxWait:       bounds.MaxWait,
		},
	}
}

// bounds returns the settings of package gate.
func (s *programSettings) bounds() gate.Settings {
	bounds := gate.DefaultSettings()
	bounds.MaxRequests = s.Limits.Requests
	bounds.MaxPerTeam = s.Limits.TeamRequests
	bounds.TeamRate = s.Limits.TeamRate
	bounds.TeamBurst = s.Limits.TeamBurst
	bounds.MaxWait = s.Limits.MaxWait
	return bounds
}

// limits returns the limits of the HTTP server for callers.
func (s *programSettings) limits() httpapi.Limits {
	return httpapi.Limits{
		MaxConnections: s.Limits.Connections,
		MaxHeaderBytes: s.Limits.HeaderBytes,
		MaxBodyBytes:   s.Limits.BodyBytes,
		HeaderTimeout:  s.Limits.HeaderTimeout,
		BodyTimeout:    s.Limits.BodyTimeout,
		IdleTimeout:    s.Limits.IdleTimeout,
		WriteTimeout:   s.Limits.WriteTimeout,
	}
}

// requests returns the limits on open requests. The time of a body is that of the limits
// of callers.
func (s *programSettings) requests() httpserve.LimitSettings {
	requests := s.Requests
	requests.BodyTime = min(requests.BodyTime, s.Limits.BodyTimeout)
	return requests
}

// seeds returns the addresses of all schedulers.
func (s *programSettings) seeds() []string {
	var seeds []string
	for _, domain := range s.Domains {
		seeds = append(seeds, domain.Schedulers...)
	}
	return seeds
}

// addresses returns the schedulers by failure domain.
func (s *programSettings) addresses() routing.Addresses {
	addresses := routing.Addresses{}
	for _, domain := range s.Domains {
		addresses[model.DomainName(domain.Name)] = domain.Schedulers
	}
	return addresses
}
