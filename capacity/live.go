package capacity

import (
	"path/filepath"

	"github.com/hornbeamworks/hornbeam/measure"
)

// Files of the end-to-end runs that scripts/capacity.sh writes, one per varied size.
const (
	rateSeries   = "rates.jsonl"
	workerSeries = "workers.jsonl"
	domainSeries = "domains.jsonl"
)

// mib is one MiB in bytes.
const mib = 1 << 20

// metric extracts one metric from the report of a run.
type metric func(measure.Report) float64

func starts(r measure.Report) float64 {
	return float64(r.Usage.Starts) / max(r.Usage.Span.Seconds(), 1)
}
func workers(r measure.Report) float64 { return float64(r.Workers) }
func domains(r measure.Report) float64 { return float64(r.Domains) }
func cores(r measure.Report) float64   { return r.Control.CPU.Seconds() / r.Elapsed.Seconds() }
func memory(r measure.Report) float64  { return float64(r.Control.LargestMemory) / mib }
func writes(r measure.Report) float64  { return float64(r.Writes) / r.Elapsed.Seconds() }
func reads(r measure.Report) float64   { return float64(r.Reads) / r.Elapsed.Seconds() }

// series is a slope measured over one series of runs.
type series struct {
	file  string
	size  metric
	value metric
	slope Slope
}

// liveSeries returns the slopes over end-to-end runs, without samples.
func liveSeries() []series {
	return []series{
		{rateSeries, starts, cores, Slope{
			Name: "control by rate", SizeUnit: "starts a second", Unit: "cores", Target: targetStarts,
			Mechanism: "one decision, one Sync and one part of a journal row for a start",
		}},
		{workerSeries, workers, cores, Slope{
			Name: "control by workers", SizeUnit: "workers", Unit: "cores", Target: targetWorkers,
			Mechanism: "Syncs: short ones when idle, one for all tasks of an endpoint",
		}},
		{domainSeries, domains, cores, Slope{
			Name: "control by domains", SizeUnit: "failure domains", Unit: "cores", Target: targetDomains,
			Mechanism: "heartbeats to a bounded number of peers, polls of one small row",
		}},
		{domainSeries, domains, writes, Slope{
			Name: "table writes by domains", SizeUnit: "failure domains", Unit: "writes/s", Target: targetDomains,
			Mechanism: "group commit at a bounded pace, one lease row for each shard",
		}},
		{domainSeries, domains, reads, Slope{
			Name: "table reads by domains", SizeUnit: "failure domains", Unit: "reads/s", Target: targetDomains,
			Mechanism: "polls of the configuration's version and of lease rows",
		}},
		{rateSeries, starts, writes, Slope{
			Name: "table writes by rate", SizeUnit: "starts a second", Unit: "writes/s", Target: targetStarts,
			Mechanism: "group commit: more entries in a row, not more rows",
		}},
		{rateSeries, starts, memory, Slope{
			Name: "memory by rate", SizeUnit: "starts a second", Unit: "MiB", Target: targetStarts,
			Mechanism: "answers are kept for a bounded time, queues are bounded",
		}},
	}
}

// FromRuns returns the slopes over the end-to-end runs whose reports are in the folder.
func FromRuns(folder string) ([]Slope, error) {
	var slopes []Slope
	for _, s := range liveSeries() {
		reports, err := measure.ReadReports(filepath.Join(folder, s.file))
		if err != nil {
			return nil, err
		}
		for _, r := range reports {
			s.slope.Samples = append(s.slope.Samples, Sample{Size: s.size(r), Value: s.value(r)})
		}
		slopes = append(slopes, s.slope)
	}
	return slopes, nil
}

// InProcess returns the slopes that are measured inside this process.
func InProcess() ([]Slope, error) {
	slopes := []Slope{SyncBytes(), ConfigBytes()}
	for _, measured := range []func() (Slope, error){SyncTraffic, DecisionTime, CellMemory} {
		s, err := measured()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}
