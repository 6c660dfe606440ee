package dispatch_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
)

// The sender of a start that was executed late had logged nothing of it.
var _ = Describe("The log of the instance that sends a start", func() {
	It("has the starts that were slow, unanswered or not sent, and no others", func() {
		ctx, cancel := context.WithCancel(context.Background())
		group := duty.NewGroup(ctx)
		DeferCleanup(func() {
			cancel()
			Expect(group.Wait()).To(Succeed())
		})
		var logged strings.Builder
		log, err := logging.New(&logged, "test", logging.Settings{Level: "info"}, clock.System{})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan dispatch.Done, 1)
		executor := dispatch.NewExecutor(ctx, &fakeCommander{}, clock.Boot{}, log, func(d duty.Runner) {
			context.AfterFunc(ctx, d.Stop)
			group.Start(d)
		}, func(d dispatch.Done) { done <- d })
		// run executes a start whose permission ends in left.
		run := func(at model.EndpointID, left time.Duration) string {
			command := startCommand(1, at)
			command.Start.Epoch = 7
			command.Start.Run = jobs.RunID{Task: jobs.TaskID{StepID: jobs.StepID{Job: "j"}}, Number: 3}
			logged.Reset()
			Expect(executor.Execute(command.Until(clock.Boot{}.Now().Add(left)))).To(BeTrue())
			executor.Release(<-done)
			return logged.String()
		}
		Expect(run("e", dispatch.SendWindow)).To(BeEmpty())
		Expect(run("unresponsive", dispatch.SendWindow)).To(And(
			ContainSubstring("event=start_slow"), ContainSubstring("id=j"), ContainSubstring(`run="j.0.0.0#3"`), ContainSubstring("endpoint=unresponsive"),
			ContainSubstring("epoch=7"), ContainSubstring("sent=true"), ContainSubstring("outcome=no_response"), ContainSubstring("before_end="), ContainSubstring("took="),
		))
		Expect(run("slow", dispatch.SendWindow/2)).To(And(
			ContainSubstring("event=start_slow"), ContainSubstring("endpoint=slow"), ContainSubstring("sent=true"), ContainSubstring("outcome=executed"),
		))
		Expect(run("e", -time.Second)).To(And(
			ContainSubstring("event=start_slow"), ContainSubstring("sent=false"), ContainSubstring("outcome=refused"), ContainSubstring("before_end=-1."),
		))
	})
})
