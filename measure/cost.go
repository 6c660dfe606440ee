package measure

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/process"
)

// variables is the part of a process's expvars that is decoded.
type variables struct {
	Cost process.Cost `json:"cost"`
}

// Control is the resource usage of the scheduler's own processes.
type Control struct {
	// Processes is the number of processes.
	Processes int
	// CPU is the sum of their CPU time.
	CPU time.Duration
	// LargestMemory is the highest peak memory of a single process, in bytes.
	LargestMemory int64
}

// ControlCost adds up the costs that the processes report at their admin addresses.
// It fails when one of them can't be read.
func ControlCost(ctx context.Context, client *http.Client, addresses []string) (Control, error) {
	var control Control
	for _, address := range addresses {
		cost, err := readCost(ctx, client, address)
		if err != nil {
			return Control{}, err
		}
		control.Processes++
		control.CPU += cost.CPU
		control.LargestMemory = max(control.LargestMemory, cost.PeakMemory)
	}
	return control, nil
}

func readCost(ctx context.Context, client *http.Client, address string) (process.Cost, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return process.Cost{}, eris.Wrapf(err, "reading the cost of %s", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return process.Cost{}, eris.Wrapf(err, "reading the cost of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var v variables
	err = json.NewDecoder(response.Body).Decode(&v)
	return v.Cost, eris.Wrapf(err, "reading the cost of %s", address)
}
