package holder_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/platform"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
	"github.com/hornbeamworks/hornbeam/storage"
)

var _ = Describe("The pruner", func() {
	It("deletes the rows of jobs whose retention has expired, and no others", func() {
		tableServer, stop := platformtest.NewTable()
		DeferCleanup(stop)
		table := platform.NewTable(tableServer.Address, true)
		ctx, parts := context.Background(), holder.Parts(4)
		now := clock.NewManual(time.Unix(100_000, 0))
		write := func(id jobs.ID, status jobs.Status) {
			Expect(table.Commit(ctx, storage.Txn{Writes: []storage.Write{
				{Key: holder.OutcomeKey(id), Value: storage.Encode(status)},
				{Key: parts.Key(holder.AcceptedTable, id), Value: storage.Encode(status)},
			}})).To(Succeed())
		}
		bar := holder.BarID("barred", "t", "q")
		Expect(parts.Of(bar)).To(Equal(parts.Of("barred")))
		write(bar, jobs.Status{State: jobs.Cancelled, Barred: true, Ended: now.Now().Add(-time.Hour).UnixMilli()})
		write("old", jobs.Status{State: jobs.Completed, Ended: now.Now().Add(-time.Hour).UnixMilli()})
		write("new", jobs.Status{State: jobs.Failed, Ended: now.Now().Add(-time.Minute).UnixMilli()})
		write("live", jobs.Status{State: jobs.Running})
		p := holder.NewPruner(ctx, table, parts, now, logging.Discard())
		Expect(p.Step()).To(Succeed())
		Expect(p.Step()).To(Succeed())
		exists := func(key string) bool {
			_, err := table.Get(ctx, key)
			Expect(err == nil || eris.Is(err, storage.ErrNotFound)).To(BeTrue())
			return err == nil
		}
		for _, id := range []jobs.ID{"old", bar} {
			Expect(exists(holder.OutcomeKey(id))).To(BeFalse())
			Expect(exists(parts.Key(holder.AcceptedTable, id))).To(BeFalse())
		}
		for _, id := range []jobs.ID{"new", "live"} {
			Expect(exists(holder.OutcomeKey(id))).To(BeTrue())
			Expect(exists(parts.Key(holder.AcceptedTable, id))).To(BeTrue())
		}
	})
})
