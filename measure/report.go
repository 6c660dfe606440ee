package measure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// percent converts a fraction to percent.
	percent = 100
	// mib is one MiB in bytes.
	mib = 1 << 20
)

// Report holds the users' metrics of one run.
type Report struct {
	Usage Usage
	// Control is the cost of control during the run.
	Control Control
	// Elapsed is the period that Control covers.
	Elapsed time.Duration
	// Workers is the number of endpoints that the cost is divided by.
	Workers int
	// Domains is the number of failure domains.
	Domains int
	// Reads and Writes count the calls of the platform's table in that period.
	Reads, Writes int64
}

// Write writes the report as text.
func (r Report) Write(w io.Writer) error {
	seconds := r.Elapsed.Seconds()
	cores := r.Control.CPU.Seconds() / seconds
	u := r.Usage
	_, err := fmt.Fprintf(w, `starts           %d in %.1f s, %.1f a second
packing          %.1f%% of the fleet on average, %.1f%% at most
share error      %.1f%% while capacity was short (%.1f s)
control          %.3f cores in %d processes, %.2f%% of a core for each worker
control memory   %.1f MiB in the largest process
table            %.1f writes and %.1f reads a second
`,
		u.Starts, u.Span.Seconds(), float64(u.Starts)/max(u.Span.Seconds(), 1),
		u.Packing*percent, u.Peak*percent,
		u.ShareError*percent, u.Short.Seconds(),
		cores, r.Control.Processes, cores*percent/float64(r.Workers),
		float64(r.Control.LargestMemory)/mib,
		float64(r.Writes)/seconds, float64(r.Reads)/seconds)
	return eris.Wrap(err, "writing the report")
}

// reportMode is the permission bits of a report file.
const reportMode = 0o644

// Append appends the report to the file as one line of JSON.
func (r Report) Append(file string) error {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, reportMode)
	if err != nil {
		return eris.Wrap(err, "opening the report file")
	}
	err = json.NewEncoder(f).Encode(r)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "appending the report")
}

// ReadReports reads the reports that Append wrote.
func ReadReports(file string) ([]Report, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "opening the report file")
	}
	defer func() { _ = f.Close() }()
	var reports []Report
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var r Report
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, eris.Wrapf(err, "decoding line %d of the report file", len(reports)+1)
		}
		reports = append(reports, r)
	}
	return reports, nil
}
