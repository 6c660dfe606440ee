package harness

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// callWait is the wait for an answer that a call requests of a gate.
	callWait = 2 * time.Second
	// retryWait is the time between two attempts of a caller.
	retryWait = 50 * time.Millisecond
	// maxCancelAttempts bounds the attempts of one cancellation.
	maxCancelAttempts = 20
)

// retryableCodes are the result codes that concern a single call and not the request:
// the caller retries, at any entry instance.
var retryableCodes = map[result.Code]bool{
	result.Pending: true, result.HomeUnreachable: true, result.ConfigStale: true,
	result.Draining: true, result.NotHolder: true, result.NoConfig: true,
	result.Busy: true, result.HomeNotReached: true, result.UnknownRequest: true,
}

// serve sends one request and retries until it has the answer or WaitTimeout has
// passed.
func (c *Callers) serve(j Job) audit.CallerRecord {
	record := audit.CallerRecord{
		Sent: time.Now(), Team: model.TeamName(j.Team),
		Key: model.IdempotencyKey(j.Key), Spec: j.spec(),
	}
	if j.Team != Keyless {
		record.KeyHash = HashOf(secret(j.Team))
	}
	if j.CancelAfter > 0 {
		defer time.AfterFunc(j.CancelAfter, func() { c.cancel(j) }).Stop()
	}
	until := record.Sent.Add(WaitTimeout)
	for len(record.Answers) == 0 && time.Now().Before(until) {
		c.step(j, &record)
	}
	c.rereadAnswer(j, &record)
	return record
}

// step makes one call: a submission until the request is accepted, then a request
// for the answer.
func (c *Callers) step(j Job, record *audit.CallerRecord) {
	answer, err := c.requestAnswer(j, record)
	code := result.Code(answer.Code)
	if err == nil && code == result.Pending {
		record.Accepted = true
		record.ID = answer.ID
		return
	}
	if err != nil || retryableCodes[code] {
		time.Sleep(retryWait)
		return
	}
	if answer.ID != "" {
		record.ID = answer.ID
	}
	record.Accepted = record.Accepted || answer.Ran == model.DidRun
	record.Answered = time.Now()
	record.Answers = append(record.Answers, answer)
}

// rereadAnswer requests the answer of an accepted request a second time, from any
// entry instance.
func (c *Callers) rereadAnswer(j Job, record *audit.CallerRecord) {
	if !record.Accepted || len(record.Answers) == 0 {
		return
	}
	answer, err := c.requestAnswer(j, record)
	if err == nil && !retryableCodes[result.Code(answer.Code)] {
		record.Answers = append(record.Answers, answer)
	}
}

func (c *Callers) requestAnswer(j Job, record *audit.CallerRecord) (model.Answer, error) {
	if record.Accepted {
		path := fmt.Sprintf("/v1/requests/%s?wait=%s", record.ID, callWait)
		return c.call(http.MethodGet, path, j, nil)
	}
	return c.submit(j, callWait)
}

func (c *Callers) submit(j Job, wait time.Duration) (model.Answer, error) {
	body, err := json.Marshal(j.spec())
	if err != nil {
		return model.Answer{}, err
	}
	return c.call(http.MethodPost, "/v1/requests?wait="+wait.String(), j, body)
}

// cancel cancels the request at any entry instance. It retries until the cancellation
// is answered, at most maxCancelAttempts times.
func (c *Callers) cancel(j Job) {
	for range maxCancelAttempts {
		answer, err := c.submit(j, 0)
		if err == nil && answer.ID != "" {
			answer, err = c.call(http.MethodDelete, "/v1/requests/"+string(answer.ID), j, nil)
		}
		if err == nil && !retryableCodes[result.Code(answer.Code)] {
			return
		}
		time.Sleep(retryWait)
	}
}

func (c *Callers) call(method, path string, j Job, body []byte) (model.Answer, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.pickGate()+path, bytes.NewReader(body))
	if err != nil {
		return model.Answer{}, err
	}
	if j.Team != Keyless {
		request.Header.Set("Authorization", "Bearer "+secret(j.Team))
	}
	request.Header.Set("Idempotency-Key", j.Key)
	answer, err := c.exchange(request)
	if err != nil {
		c.recordError(err)
		return model.Answer{}, err
	}
	c.countCode(answer.Code)
	return answer, nil
}

func (c *Callers) exchange(request *http.Request) (model.Answer, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return model.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return model.Answer{}, err
	}
	var answer model.Answer
	return answer, json.Unmarshal(raw, &answer)
}

// HashOf returns the hash by which the configuration knows the secret of a key.
func HashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
