package audit_test

import (
	"bytes"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

var (
	startTime = time.Unix(1_700_000_000, 0).UTC()
	slot      = model.Resources{1000, 1024, 0, 1, 1}
	capacity  = slot.Scale(2)
)

const requestID = model.RequestID("0-1-a")

// at returns the time the given seconds into the run.
func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// validRun returns a run without violations: one request of two tasks with a
// complete answer.
func validRun() audit.Input {
	config := model.Config{
		Version: 1,
		Classes: []model.Class{{Name: "batch", Repeatable: true}, {Name: "settlement"}},
		Teams:   []model.Team{{Name: "t", Limit: slot.Scale(2)}},
		Keys:    []model.Key{{ID: "k", Team: "t", Hash: "h"}},
		Domains: []model.Domain{{Name: "a", Shards: 1}},
	}
	in := audit.Input{Options: audit.DefaultOptions()}
	in.Records = []standin.Record{
		{Time: at(0), Kind: standin.Added, Endpoint: "a1", Domain: "a", Rack: "r", Size: capacity},
		{Time: at(0), Kind: standin.Added, Endpoint: "a2", Domain: "a", Rack: "r", Size: capacity},
		written(0, config),
		{Time: at(1), Kind: standin.Adopted, Endpoint: "a1", Domain: "a", Epoch: 2},
		started(2, "a1", 0, 1), started(2, "a1", 1, 1),
		ended(3, "a1", 0, 1), ended(3, "a1", 1, 1),
	}
	in.Callers = []audit.CallerRecord{{
		Sent: at(1), Answered: at(4), ID: requestID, Team: "t", KeyHash: "h", Key: "one",
		Spec: model.Spec{Class: "batch", Tasks: 2, Size: slot}, Accepted: true,
		Answers: []model.Answer{completeAnswer(), completeAnswer()},
	}}
	return in
}

func written(seconds float64, config model.Config) standin.Record {
	raw, err := json.Marshal(config)
	Expect(err).NotTo(HaveOccurred())
	return standin.Record{Time: at(seconds), Kind: standin.Written, Key: "config/head", Value: raw}
}

// changed records the configuration of validRun with a change.
func changed(in *audit.Input, seconds float64, change func(*model.Config)) {
	var config model.Config
	Expect(json.Unmarshal(in.Records[2].Value, &config)).To(Succeed())
	change(&config)
	in.Records = append(in.Records, written(seconds, config))
}

func attempt(index, number int) model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Request: requestID, Index: index}, Number: number}
}

func started(seconds float64, id model.EndpointID, index, number int) standin.Record {
	return standin.Record{
		Time: at(seconds), Kind: standin.Started, Endpoint: id, Domain: "a", Epoch: 2,
		Attempt: attempt(index, number), Team: "t", Class: "batch", Size: slot,
	}
}

func ended(seconds float64, id model.EndpointID, index, number int) standin.Record {
	r := started(seconds, id, index, number)
	r.Kind, r.Outcome = standin.Ended, model.Succeeded
	r.Output = standin.Output("", requestID, index)
	return r
}

func completeAnswer() model.Answer {
	return model.Answer{ID: requestID, Code: int(result.OK), Ran: model.DidRun, Parts: []model.Part{
		{Index: 0, Output: standin.Output("", requestID, 0)},
		{Index: 1, Output: standin.Output("", requestID, 1)},
	}}
}

func refused(seconds float64, reason string) standin.Record {
	return standin.Record{Time: at(seconds), Kind: standin.Refused, Endpoint: "a1", Epoch: 2, Reason: reason}
}

func leaving(seconds float64) standin.Record {
	return standin.Record{Time: at(seconds), Kind: standin.Changed, Endpoint: "a1", State: "leaving"}
}

var _ = Describe("Check", func() {
	It("reports no violation for a valid run and counts its records", func() {
		report := audit.Check(validRun())
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Counts).To(Equal(audit.Counts{
			Starts: 2, Ends: 2, Configs: 1, Requests: 1, Accepted: 1, Answered: 1,
		}))
	})

	It("allows violations within the grace periods", func() {
		in := validRun()
		changed(&in, 10, func(c *model.Config) {
			c.Domains[0].Out = true
			c.Teams[0].Limit = model.Resources{}
			c.Keys = nil
		})
		in.Records = append(in.Records, started(14, "a1", 0, 2), leaving(14), refused(15, standin.ReasonLeaving))
		in.Callers[0].Sent = at(14)
		Expect(audit.Check(in).Violations).To(BeEmpty())
	})

	It("counts the resumption of a checkpointed run as the same run", func() {
		in := validRun()
		in.Records[4].Once = true
		in.Records[6].Outcome = model.Checkpointed
		second := started(4, "a2", 0, 2)
		second.Once = true
		in.Records = append(in.Records, second, ended(5, "a2", 0, 2))
		Expect(audit.Check(in).Violations).To(BeEmpty())
	})

	It("reads the records of stand-ins and callers", func() {
		in := validRun()
		var records, callers bytes.Buffer
		for _, r := range in.Records {
			Expect(json.NewEncoder(&records).Encode(r)).To(Succeed())
		}
		for _, c := range in.Callers {
			Expect(json.NewEncoder(&callers).Encode(c)).To(Succeed())
		}
		Expect(audit.ReadRecords(&records)).To(Equal(in.Records))
		Expect(audit.ReadCallers(&callers)).To(Equal(in.Callers))
		_, err := audit.ReadCallers(bytes.NewBufferString("{}\n{"))
		Expect(err).To(MatchError(ContainSubstring("line 2")))
	})
})

var _ = DescribeTable("Check catches",
	func(rule audit.Rule, corrupt func(in *audit.Input)) {
		in := validRun()
		corrupt(&in)
		report := audit.Check(in)
		Expect(report.Of(rule)).NotTo(BeEmpty())
		Expect(report.OK()).To(BeFalse())
		Expect(report.Of(rule)).To(HaveLen(len(report.Violations)))
	},
	Entry("an endpoint committed beyond its capacity", audit.Capacity, func(in *audit.Input) {
		in.Records[0].Size = slot
	}),
	Entry("a start command beyond the endpoint's capacity", audit.Capacity, func(in *audit.Input) {
		in.Records = append(in.Records, refused(5, standin.ReasonCapacity))
	}),
	Entry("two running attempts of a task", audit.SinglePlacement, func(in *audit.Input) {
		in.Records[5] = started(2.5, "a2", 0, 2)
		in.Records = append(in.Records, ended(2.6, "a2", 0, 2), started(4, "a1", 1, 1))
	}),
	Entry("a team beyond its limit", audit.TeamLimit, func(in *audit.Input) {
		changed(in, 0, func(c *model.Config) { c.Teams[0].Limit = slot })
		in.Records[2] = in.Records[len(in.Records)-1]
	}),
	Entry("a start beyond a limit that was lowered before the grace period", audit.TeamLimit, func(in *audit.Input) {
		changed(in, 10, func(c *model.Config) { c.Teams[0].Limit = model.Resources{} })
		in.Records = append(in.Records, started(21, "a1", 0, 2))
	}),
	Entry("a second run of a request that is not repeatable", audit.AtMostOnce, func(in *audit.Input) {
		second := started(4, "a2", 0, 2)
		second.Once = true
		in.Records = append(in.Records, second)
	}),
	Entry("a second run of a class that is not repeatable", audit.AtMostOnce, func(in *audit.Input) {
		second := started(4, "a2", 0, 2)
		second.Class = "settlement"
		in.Records = append(in.Records, second)
	}),
	Entry("one idempotency key that ran as two requests", audit.AtMostOnce, func(in *audit.Input) {
		other := started(5, "a2", 0, 1)
		other.Attempt.Task.Request = "0-2-a"
		in.Records = append(in.Records, other)
		in.Callers = append(in.Callers, audit.CallerRecord{Team: "t", Key: "one", ID: "0-2-a"})
	}),
	Entry("a start in a domain taken out", audit.OutOfService, func(in *audit.Input) {
		changed(in, 4, func(c *model.Config) { c.Domains[0].Out = true })
		in.Records = append(in.Records, started(10, "a1", 0, 2))
	}),
	Entry("a start in a rack taken out", audit.OutOfService, func(in *audit.Input) {
		changed(in, 4, func(c *model.Config) { c.RacksOut = []model.RackRef{{Domain: "a", Rack: "r"}} })
		in.Records = append(in.Records, started(10, "a1", 0, 2))
	}),
	Entry("a start on an endpoint taken out", audit.OutOfService, func(in *audit.Input) {
		changed(in, 4, func(c *model.Config) { c.EndpointsOut = []model.EndpointID{"a1"} })
		in.Records = append(in.Records, started(10, "a1", 0, 2))
	}),
	Entry("work sent to a leaving endpoint", audit.Leaving, func(in *audit.Input) {
		in.Records = append(in.Records, leaving(4), refused(7, standin.ReasonLeaving))
	}),
	Entry("an accepted command of a lower epoch", audit.Fencing, func(in *audit.Input) {
		in.Records = append(in.Records, standin.Record{Time: at(5), Kind: standin.Renewed, Endpoint: "a1", Epoch: 1})
	}),
	Entry("an accepted request without an answer", audit.Answered, func(in *audit.Input) {
		in.Callers[0].Answers = nil
	}),
	Entry("two different answers to one request", audit.OneAnswer, func(in *audit.Input) {
		in.Callers[0].Answers[1].Code = int(result.TaskFailed)
	}),
	Entry("an answer that lacks a part", audit.CompleteAnswer, func(in *audit.Input) {
		short := completeAnswer()
		short.Parts = short.Parts[:1]
		in.Callers[0].Answers = []model.Answer{short}
	}),
	Entry("an answer whose parts are out of order", audit.CompleteAnswer, func(in *audit.Input) {
		swapped := completeAnswer()
		swapped.Parts[0], swapped.Parts[1] = swapped.Parts[1], swapped.Parts[0]
		in.Callers[0].Answers = []model.Answer{swapped}
	}),
	Entry("an output that no endpoint returned", audit.CompleteAnswer, func(in *audit.Input) {
		in.Records[7].Outcome = model.Failed
	}),
	Entry("another request's answer", audit.CompleteAnswer, func(in *audit.Input) {
		other := completeAnswer()
		other.ID = "0-2-a"
		in.Callers[0].Answers = []model.Answer{other}
	}),
	Entry("work that ran and is reported as not run", audit.AccurateNotRun, func(in *audit.Input) {
		in.Callers[0].Answers = []model.Answer{result.Answer(requestID, result.WindowPassed, "late")}
	}),
	Entry("work that did not run and is reported as run", audit.AccurateRan, func(in *audit.Input) {
		in.Callers[0].ID = "0-2-a"
		in.Callers[0].Answers = []model.Answer{result.Answer("0-2-a", result.TaskFailed, "failed")}
	}),
	Entry("work run for another team", audit.OwnTeam, func(in *audit.Input) {
		in.Callers[0].Team = "u"
	}),
	Entry("a request accepted with a withdrawn key", audit.WithdrawnKey, func(in *audit.Input) {
		changed(in, 10, func(c *model.Config) { c.Keys = nil })
		in.Callers[0].Sent = at(16)
	}),
)
