package measure

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/process"
)

// variables are the expvars of a process that are read here.
type variables struct {
	Cost process.Cost `json:"cost"`
}

// Control is what the system's own processes have used.
type Control struct {
	// Processes is their number.
	Processes int
	// CPU is the sum of their processor time.
	CPU time.Duration
	// LargestMemory is the peak of the largest of them, in bytes.
	LargestMemory int64
}

// ControlCost reads the cost of the processes with the given admin addresses.
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
		return process.Cost{}, eris.Wrapf(err, "cost of %s", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return process.Cost{}, eris.Wrapf(err, "cost of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var v variables
	err = json.NewDecoder(response.Body).Decode(&v)
	return v.Cost, eris.Wrapf(err, "cost of %s", address)
}
