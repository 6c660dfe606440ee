package capacity

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/sched"
)

// SyncTraffic measures the bytes on the wire of an endpoint that runs the
// target's number of tasks, by the number of Syncs a second. One Sync in
// reportEvery asks for the state of all that runs.
func SyncTraffic() (Slope, error) {
	const reportEvery = 10
	s := Slope{
		Name: "Sync traffic", SizeUnit: "Syncs a second", Unit: "bytes/s",
		Target: syncsAtTarget(), Mechanism: "short Syncs in between reports",
	}
	short, err := exchangeBytes(endpoint.SyncRequest{}, endpoint.SyncReply{})
	if err != nil {
		return Slope{}, err
	}
	report, err := exchangeBytes(endpoint.SyncRequest{Report: true}, syncReply(runningWhole))
	if err != nil {
		return Slope{}, err
	}
	mean := (short*(reportEvery-1) + report) / reportEvery
	for _, rate := range []float64{1, 2, 4, 8} {
		s.Samples = append(s.Samples, Sample{Size: rate, Value: rate * mean})
	}
	return s, nil
}

// runningWhole is the mean number of running tasks of an endpoint, rounded up.
const runningWhole = (targetRunning + targetWorkers - 1) / targetWorkers

// syncsAtTarget is the rate of Syncs of a busy endpoint with the default
// settings.
func syncsAtTarget() float64 {
	return float64(time.Second) / float64(sched.DefaultSettings().SyncPeriod)
}

// exchangeBytes returns the size of a Sync and its reply as HTTP carries them.
func exchangeBytes(request endpoint.SyncRequest, reply endpoint.SyncReply) (float64, error) {
	request.Shard = model.ShardID{Domain: "fd1"}
	request.Epoch, request.Lease = 1000, 3*time.Second
	body, err := json.Marshal(request)
	if err != nil {
		return 0, eris.Wrap(err, "encoding a Sync")
	}
	sent, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:7100/endpoints/fd1-worker-001/sync", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "building a Sync")
	}
	sent.Header.Set("Content-Type", "application/json")
	out, err := httputil.DumpRequestOut(sent, true)
	if err != nil {
		return 0, eris.Wrap(err, "writing a Sync")
	}
	answer, err := json.Marshal(reply)
	if err != nil {
		return 0, eris.Wrap(err, "encoding a reply")
	}
	return float64(len(out)+len(answer)) + replyHeaderBytes, nil
}

// replyHeaderBytes is the size of the header of a reply: status line, date,
// type and length.
const replyHeaderBytes = 108
