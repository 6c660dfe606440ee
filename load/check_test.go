package load_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/load"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

const id model.RequestID = "0-abc-fd1"

// validRecord returns the record of a request of two tasks with a correct answer.
func validRecord() audit.CallerRecord {
	payload := standin.Payload{Output: "lot/"}.Encode()
	answer := model.Answer{ID: id, Code: int(result.OK), Ran: model.DidRun}
	for i := range 2 {
		answer.Parts = append(answer.Parts, model.Part{Index: i, Output: standin.Output(payload, id, i)})
	}
	return audit.CallerRecord{
		ID: id, Accepted: true, Spec: model.Spec{Tasks: 2, Payload: payload}, Answers: []model.Answer{answer},
	}
}

var _ = Describe("Check", func() {
	It("reports nothing for a complete answer and for a refusal", func() {
		record := validRecord()
		Expect(load.Check(&record)).To(BeEmpty())
		record.Answers = []model.Answer{result.Answer(id, result.QueueFull, "")}
		Expect(load.Check(&record)).To(BeEmpty())
	})

	DescribeTable("reports", func(corrupt func(*audit.CallerRecord), problem string) {
		record := validRecord()
		corrupt(&record)
		Expect(load.Check(&record)).To(ContainElement(ContainSubstring(problem)))
	},
		Entry("no answer", func(r *audit.CallerRecord) { r.Answers = nil }, "never answered"),
		Entry("a missing part", func(r *audit.CallerRecord) { r.Answers[0].Parts = r.Answers[0].Parts[:1] }, "1 of 2 parts"),
		Entry("parts out of order", func(r *audit.CallerRecord) {
			p := r.Answers[0].Parts
			p[0], p[1] = p[1], p[0]
		}, "part 0 has index 1"),
		Entry("another task's output", func(r *audit.CallerRecord) { r.Answers[0].Parts[1].Output = r.Answers[0].Parts[0].Output }, "part 1"),
		Entry("another request's answer", func(r *audit.CallerRecord) { r.Answers[0].ID = "0-xyz-fd1" }, "the answer to 0-xyz-fd1"),
		Entry("two answers", func(r *audit.CallerRecord) {
			r.Answers = append(r.Answers, result.Answer(id, result.TaskFailed, ""))
		}, "code 100 and then with code 304"),
		Entry("a code that contradicts whether the request ran", func(r *audit.CallerRecord) { r.Answers[0].Ran = model.NotRun }, `reports "not run"`),
	)
})
