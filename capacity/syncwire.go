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

// SyncTraffic measures the network traffic of an endpoint that runs the target
// number of tasks, by the number of Syncs per second. One Sync in reportEvery
// requests the state of all running tasks.
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
	report, err := exchangeBytes(endpoint.SyncRequest{Report: true}, syncReply(runningRoundedUp))
	if err != nil {
		return Slope{}, err
	}
	mean := (short*(reportEvery-1) + report) / reportEvery
	for _, rate := range []float64{1, 2, 4, 8} {
		s.Samples = append(s.Samples, Sample{Size: rate, Value: rate * mean})
	}
	return s, nil
}

// runningRoundedUp is the mean number of running tasks per endpoint, rounded up.
const runningRoundedUp = (targetRunning + targetWorkers - 1) / targetWorkers

// syncsAtTarget is the number of Syncs per second of a busy endpoint with the default
// settings.
func syncsAtTarget() float64 {
	return float64(time.Second) / float64(sched.DefaultSettings().SyncPeriod)
}

// exchangeBytes returns the size of a Sync request and its reply on the wire,
// including the HTTP headers.
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
		return 0, eris.Wrap(err, "dumping a Sync")
	}
	encoded, err := json.Marshal(reply)
	if err != nil {
		return 0, eris.Wrap(err, "encoding a reply")
	}
	return float64(len(out)+len(encoded)) + replyHeaderBytes, nil
}

// replyHeaderBytes is the size of a reply's HTTP header: status line, Date,
// Content-Type and Content-Length.
const replyHeaderBytes = 108
