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

// caller is a duty that carries one request at a time to its end. Its calls
// block, which is why each has a thread of its own.
type caller struct {
	number int
	ctx    context.Context
	clock  clock.Clock
	// giveUp bounds the time for one request.
	giveUp time.Duration
	// teams are the careful callers by team.
	teams map[model.TeamName]teamCaller
	tell  func(done)
	idle  func(number int)
}

// teamCaller is a careful caller with the hash of its key.
type teamCaller struct {
	careful *client.Caller
	hash    string
}

// done is a request that a caller has finished with.
type done struct {
	record audit.CallerRecord
	due    time.Time
	lost   int
}

// keyHash returns the hash of the secret, empty for none.
func keyHash(secret string) string {
	if secret == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Handle is the duty.
func (c *caller) Handle(batch []job) time.Duration {
	for _, j := range batch {
		c.tell(c.carry(j))
		c.idle(c.number)
	}
	return duty.Never
}

// carry hands in the request, waits for its answer and may ask for it again.
func (c *caller) carry(j job) done {
	ctx, cancel := context.WithTimeout(c.ctx, c.giveUp)
	defer cancel()
	team := c.teams[j.team]
	record := audit.CallerRecord{Sent: c.clock.Now(), Team: j.team, KeyHash: team.hash, Key: j.key, Spec: j.spec}
	if record.Team == "" {
		record.Team = model.OpenTeam
	}
	conclusion := c.conclude(ctx, team.careful, j)
	record.ID, record.Accepted = conclusion.ID, conclusion.Accepted
	if conclusion.Answered {
		record.Answered = c.clock.Now()
		record.Answers = append(record.Answers, conclusion.Answer)
	}
	if conclusion.Answered && j.again && record.ID != "" {
		record.Answers = append(record.Answers, c.askAgain(ctx, team.careful, record.ID)...)
	}
	return done{record: record, due: j.dueTime, lost: conclusion.Lost}
}

// conclude carries a batch or a gang to its answer; a service runs for its time
// and is then cancelled.
func (c *caller) conclude(ctx context.Context, careful *client.Caller, j job) client.Conclusion {
	if j.spec.Kind != model.Service {
		return careful.Do(ctx, j.key, j.spec)
	}
	conclusion := careful.Accept(ctx, j.key, j.spec)
	if conclusion.Answered || !conclusion.Accepted {
		return conclusion
	}
	timer := time.NewTimer(j.run)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	careful.Cancel(ctx, conclusion.ID)
	return careful.Wait(ctx, conclusion.ID)
}

// askAgain asks another entry instance for the same answer.
func (c *caller) askAgain(ctx context.Context, careful *client.Caller, id model.RequestID) []model.Answer {
	answer, err := careful.Entry().Await(ctx, id, 0)
	if err != nil || !client.Final(answer) {
		return nil
	}
	return []model.Answer{answer}
}
