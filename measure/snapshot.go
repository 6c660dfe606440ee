package measure

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/standin"
)

// snapshotMode is the permission bits of a snapshot file.
const snapshotMode = 0o644

// Snapshot holds the values of all counters at one time.
type Snapshot struct {
	At time.Time `json:"at"`
	// Control is the cost of control since the processes started.
	Control Control `json:"control"`
	// Table holds the table's counters.
	Table standin.TableStats `json:"table"`
}

// Source locates the counters.
type Source struct {
	Client *http.Client
	// Platform is the base URL of the stand-ins.
	Platform string
	// Admins are the admin addresses of the processes.
	Admins []string
}

// Read reads all counters; now becomes the snapshot's time.
func (s Source) Read(ctx context.Context, now time.Time) (Snapshot, error) {
	control, err := ControlCost(ctx, s.Client, s.Admins)
	if err != nil {
		return Snapshot{}, err
	}
	table, err := s.tableStats(ctx)
	return Snapshot{At: now, Control: control, Table: table}, err
}

func (s Source) tableStats(ctx context.Context) (standin.TableStats, error) {
	var stats standin.TableStats
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Platform+standin.StatsPath, nil)
	if err != nil {
		return stats, eris.Wrap(err, "reading the table's counters")
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return stats, eris.Wrap(err, "reading the table's counters")
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&stats)
	return stats, eris.Wrap(err, "reading the table's counters")
}

// Save writes the snapshot to the file.
func (s Snapshot) Save(file string) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encoding the snapshot")
	}
	return eris.Wrap(os.WriteFile(file, raw, snapshotMode), "writing the snapshot")
}

// LoadSnapshot reads a snapshot that Save wrote.
func LoadSnapshot(file string) (Snapshot, error) {
	var s Snapshot
	raw, err := os.ReadFile(file)
	if err != nil {
		return s, eris.Wrap(err, "reading the snapshot")
	}
	return s, eris.Wrap(json.Unmarshal(raw, &s), "decoding the snapshot")
}

// Since returns the report on the period between the earlier snapshot and this one.
func (s Snapshot) Since(earlier Snapshot, usage Usage, d *deployment.Deployment) Report {
	control := s.Control
	control.CPU -= earlier.Control.CPU
	return Report{
		Usage:   usage,
		Control: control,
		Elapsed: s.At.Sub(earlier.At),
		Workers: d.Workers.Count,
		Domains: len(d.Fleet.Domains),
		Reads:   s.Table.Reads - earlier.Table.Reads,
		Writes:  s.Table.Writes - earlier.Table.Writes,
	}
}
