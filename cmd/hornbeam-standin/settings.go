package main

import (
	"time"

	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/settings"
)

// Settings are the settings of hornbeam-standin.
type Settings struct {
	// Standin says what is served where.
	Standin StandinSettings `ini:"standin"`
	// Table are the properties of the table.
	Table TableSettings `ini:"table"`
	// Endpoints are the properties of the endpoints and their list.
	Endpoints EndpointSettings `ini:"endpoints"`
	// Domains are the addresses under which endpoints are listed.
	Domains []DomainSettings `ini:"domain.*" validate:"dive"`
	// Log says what is logged.
	Log logging.Settings `ini:"log"`
}

// StandinSettings say what is served where.
type StandinSettings struct {
	// Listen is the host and port to serve on.
	Listen string `ini:"listen" validate:"hostname_port"`
	// Deployment is the file that describes the fleet.
	Deployment string `ini:"deployment" validate:"required"`
}

// TableSettings are the properties of the table.
type TableSettings struct {
	// Latency is added to every call.
	Latency time.Duration `ini:"latency" validate:"min=0"`
	// WritesPerSecond is the rate of commits it carries.
	WritesPerSecond int `ini:"writes_per_second" validate:"min=1"`
	// ReadsPerSecond is the rate of reads it carries.
	ReadsPerSecond int `ini:"reads_per_second" validate:"min=1"`
}

// EndpointSettings are the properties of the endpoints and their list.
type EndpointSettings struct {
	// Latency is added to every Sync.
	Latency time.Duration `ini:"latency" validate:"min=0"`
	// UsageLag is the time until a task's usage is sampled first.
	UsageLag time.Duration `ini:"usage_lag" validate:"min=0"`
	// ListLag is how far the instance list lags behind.
	ListLag time.Duration `ini:"list_lag" validate:"min=0"`
}

// DomainSettings are the address of a domain's endpoints in the list.
type DomainSettings struct {
	// Name is the failure domain.
	Name string `ini:"*"`
	// Advertise is the host and port in the list, for a proxy in between; the
	// default is the address that is served.
	Advertise string `ini:"advertise" validate:"hostname_port"`
}

// The defaults.
const (
	defaultWrites   = 400
	defaultReads    = 2000
	defaultLatency  = 2 * time.Millisecond
	defaultUsageLag = 2 * time.Second
	defaultListLag  = 2 * time.Second
)

func loadSettings(file string) (*Settings, error) {
	s := &Settings{
		Standin:   StandinSettings{Listen: "127.0.0.1:7100"},
		Table:     TableSettings{Latency: defaultLatency, WritesPerSecond: defaultWrites, ReadsPerSecond: defaultReads},
		Endpoints: EndpointSettings{UsageLag: defaultUsageLag, ListLag: defaultListLag},
		Log:       logging.Settings{Level: "info"},
	}
	return s, settings.Load(file, s)
}

// advertised returns the address under which the domain's endpoints are
// listed.
func (s *Settings) advertised(domain model.DomainName, served string) string {
	for _, d := range s.Domains {
		if d.Name == string(domain) {
			return d.Advertise
		}
	}
	return served
}
