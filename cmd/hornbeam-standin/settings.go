package main

import (
	"time"

	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/settings"
)

// Settings are the settings of hornbeam-standin.
type Settings struct {
	Standin   StandinSettings  `ini:"standin"`
	Table     TableSettings    `ini:"table"`
	Endpoints EndpointSettings `ini:"endpoints"`
	// Domains are the addresses under which endpoints are listed.
	Domains []DomainSettings `ini:"domain.*" validate:"dive"`
	Log     logging.Settings `ini:"log"`
}

// StandinSettings are the listen address and the simulated deployment.
type StandinSettings struct {
	// Listen is the host and port of the server.
	Listen string `ini:"listen" validate:"hostname_port"`
	// Deployment is the file that describes the fleet.
	Deployment string `ini:"deployment" validate:"required"`
}

// TableSettings are the simulated latency and throughput of the table.
type TableSettings struct {
	// Latency is added to every call.
	Latency time.Duration `ini:"latency" validate:"min=0"`
	// WritesPerSecond is the largest rate of commits.
	WritesPerSecond int `ini:"writes_per_second" validate:"min=1"`
	// ReadsPerSecond is the largest rate of reads.
	ReadsPerSecond int `ini:"reads_per_second" validate:"min=1"`
}

// EndpointSettings are the simulated delays of the endpoints and their list.
type EndpointSettings struct {
	// Latency is added to every sync call.
	Latency time.Duration `ini:"latency" validate:"min=0"`
	// UsageLag is the time until a task's resource usage is first sampled.
	UsageLag time.Duration `ini:"usage_lag" validate:"min=0"`
	// ListLag is the replication lag of the instance list.
	ListLag time.Duration `ini:"list_lag" validate:"min=0"`
}

// DomainSettings are the advertised address of a domain's endpoints.
type DomainSettings struct {
	// Name is the failure domain.
	Name string `ini:"*"`
	// Advertise is the host and port in the instance list, such as that of a
	// proxy. Domains without a section are listed with the listen address.
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
func (s *Settings) advertised(domain model.DomainName, listenAddress string) string {
	for _, d := range s.Domains {
		if d.Name == string(domain) {
			return d.Advertise
		}
	}
	return listenAddress
}
