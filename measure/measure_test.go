package measure_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/measure"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

var start = time.Unix(1000, 0)

func slots(n int64) model.Resources { return model.Resources{model.Slots: n} }

func attempt(id model.RequestID) model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Request: id}, Number: 1}
}

// ran returns the records of a task that ran between the given seconds after start.
func ran(id model.RequestID, team model.TeamName, size int64, from, to int) []standin.Record {
	return []standin.Record{
		{Kind: standin.Started, Time: start.Add(time.Duration(from) * time.Second), Attempt: attempt(id), Team: team, Size: slots(size)},
		{Kind: standin.Ended, Time: start.Add(time.Duration(to) * time.Second), Attempt: attempt(id)},
	}
}

func requested(team model.TeamName, tasks int) audit.CallerRecord {
	return audit.CallerRecord{Sent: start, Answered: start.Add(time.Hour), Team: team, Spec: model.Spec{Tasks: tasks, Size: slots(1)}}
}

var fleet = standin.Record{Kind: standin.Added, Time: start, Size: slots(10)}

var _ = Describe("FleetUsage", func() {
	It("reports packing as the mean committed share", func() {
		records := append([]standin.Record{fleet}, ran("a", "t", 10, 0, 10)...)
		records = append(records, ran("b", "t", 5, 10, 20)...)
		usage := measure.FleetUsage(records, nil, nil)
		Expect(usage.Starts).To(Equal(2))
		Expect(usage.Span).To(Equal(20 * time.Second))
		Expect(usage.Packing).To(BeNumerically("~", 0.75, 0.01))
		Expect(usage.Peak).To(Equal(1.0))
		Expect(usage.Short).To(BeZero())
	})

	It("reports the misallocated fraction while capacity is short", func() {
		records := append([]standin.Record{fleet}, ran("a", "one", 8, 0, 10)...)
		records = append(records, ran("b", "two", 2, 0, 10)...)
		callers := []audit.CallerRecord{requested("one", 20), requested("two", 20)}
		teams := []model.Team{{Name: "one", Share: 500}, {Name: "two", Share: 500}}
		usage := measure.FleetUsage(records, callers, teams)
		Expect(usage.ShareError).To(BeNumerically("~", 0.3, 0.01))
		Expect(usage.Short).To(BeNumerically(">", 9*time.Second))
	})

	It("counts the use of another team's unused share as correct", func() {
		records := append([]standin.Record{fleet}, ran("a", "one", 8, 0, 10)...)
		records = append(records, ran("b", "two", 2, 0, 10)...)
		callers := []audit.CallerRecord{requested("one", 20), requested("two", 2)}
		teams := []model.Team{{Name: "one", Share: 500}, {Name: "two", Share: 500}}
		Expect(measure.FleetUsage(records, callers, teams).ShareError).To(BeNumerically("<", 0.01))
	})
})

var _ = Describe("Report", func() {
	It("divides the cost of control by the number of workers", func() {
		var out strings.Builder
		report := measure.Report{
			Control: measure.Control{CPU: time.Second, Processes: 3}, Elapsed: 10 * time.Second, Workers: 10, Writes: 50,
		}
		Expect(report.Write(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("0.100 cores in 3 processes, 1.00% of a core for each worker"))
		Expect(out.String()).To(ContainSubstring("5.0 writes"))
	})
})
