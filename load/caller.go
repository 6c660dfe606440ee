package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/client"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
)

// caller is a duty that serves one request at a time, from its submission to its
// final answer. Its calls block, so each caller has a thread of its own.
type caller struct {
	number int
	ctx    context.Context
	clock  clock.Clock
	// giveUp is the timeout of one request with all its retries.
	giveUp time.Duration
	// teams holds the retrying client of each team.
	teams  map[model.TeamName]teamClient
	report func(completion)
	idle   func(number int)
}

// teamClient is a retrying client that uses a team's key, with the hash of that key.
type teamClient struct {
	retrying *client.Caller
	hash     string
}

// completion is a request that a caller has finished, answered or not.
type completion struct {
	record    audit.CallerRecord
	due       time.Time
	lostCalls int
}

// keyHash returns the hex SHA-256 hash of the secret; empty when there is none.
func keyHash(secret string) string {
	if secret == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Handle serves the jobs of the batch in order.
func (c *caller) Handle(batch []job) time.Duration {
	for _, j := range batch {
		c.report(c.serve(j))
		c.idle(c.number)
	}
	return duty.Never
}

// serve submits the request, waits for its answer and requests the answer a second
// time when the job says so.
func (c *caller) serve(j job) completion {
	ctx, cancel := context.WithTimeout(c.ctx, c.giveUp)
	defer cancel()
	team := c.teams[j.team]
	record := audit.CallerRecord{Sent: c.clock.Now(), Team: j.team, KeyHash: team.hash, Key: j.key, Spec: j.spec}
	if record.Team == "" {
		record.Team = model.OpenTeam
	}
	conclusion := c.submitAndWait(ctx, team.retrying, j)
	record.ID, record.Accepted = conclusion.ID, conclusion.Accepted
	if conclusion.Answered {
		record.Answered = c.clock.Now()
		record.Answers = append(record.Answers, conclusion.Answer)
	}
	if conclusion.Answered && j.duplicate && record.ID != "" {
		record.Answers = append(record.Answers, c.rereadAnswer(ctx, team.retrying, record.ID)...)
	}
	return completion{record: record, due: j.dueTime, lostCalls: conclusion.Failed}
}

// submitAndWait submits the request and waits for its answer. A service is cancelled
// after its run time.
func (c *caller) submitAndWait(ctx context.Context, retrying *client.Caller, j job) client.Conclusion {
	if j.spec.Kind != model.Service {
		return retrying.Do(ctx, j.key, j.spec)
	}
	conclusion := retrying.Accept(ctx, j.key, j.spec)
	if conclusion.Answered || !conclusion.Accepted {
		return conclusion
	}
	timer := time.NewTimer(j.run)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	retrying.Cancel(ctx, conclusion.ID)
	return retrying.Wait(ctx, conclusion.ID)
}

// rereadAnswer requests the answer a second time, from any entry instance.
func (c *caller) rereadAnswer(ctx context.Context, retrying *client.Caller, id model.RequestID) []model.Answer {
	answer, err := retrying.Entry().Await(ctx, id, 0)
	if err != nil || !client.Final(answer) {
		return nil
	}
	return []model.Answer{answer}
}
