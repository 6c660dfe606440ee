package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/retry"
)

var _ = Describe("Backoff", func() {
	attempt := func(index int) model.AttemptID {
		return model.AttemptID{Task: model.TaskID{Request: "0-1-west", Index: index}, Number: 1}
	}

	DescribeTable("returns a delay in the upper half of the doubled base",
		func(failures int, nominal time.Duration) {
			wait := retry.Backoff(attempt(0), failures, time.Second, 30*time.Second)
			Expect(wait).To(And(BeNumerically(">=", nominal/2), BeNumerically("<=", nominal)))
		},
		Entry("first failure", 1, time.Second),
		Entry("third failure", 3, 4*time.Second),
		Entry("at the limit", 10, 30*time.Second),
		Entry("far beyond the limit", 1000, 30*time.Second),
	)

	It("gives the tasks of a request different delays", func() {
		seen := map[time.Duration]bool{}
		for i := range 100 {
			seen[retry.Backoff(attempt(i), 1, time.Second, time.Minute)] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 90))
	})
})
