package front_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/front"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/storage"
	"github.com/hornbeamworks/hornbeam/view"
)

// interruptedTable calls before ahead of each read.
type interruptedTable struct {
	*scriptedTable
	before func()
}

func (t *interruptedTable) Get(ctx context.Context, key string) (storage.Row, error) {
	t.before()
	return t.scriptedTable.Get(ctx, key)
}

// LOST: an accepted job that nobody had cancelled.
var _ = Describe("The state of a job whose queue is renamed during the call", func() {
	It("is that of the job", func() {
		t := &scriptedTable{rows: map[string][]byte{}, versions: map[string]storage.RowVersion{}}
		acceptElsewhere(t, "a", "red", "s")
		v := view.New(fakeDecoder{}, noListener{}, clock.Boot{}, logging.Discard())
		v.Update(feed.Update{Full: true, Changes: []storage.Change{{}}, RequestedAt: clock.Boot{}.Now()})
		table := &interruptedTable{scriptedTable: t, before: func() {
			v.Update(feed.Update{Changes: []storage.Change{{Row: storage.Row{Value: []byte(renamedRow)}}}})
		}}
		ctx, cancel := context.WithCancel(context.Background())
		f := front.New(ctx, front.Options{Parts: 1, View: v, Table: table, TableClock: fixedClock(100_000), Clock: clock.Boot{}, Wall: clock.System{}, Log: logging.Discard()})
		group := duty.NewGroup(ctx)
		group.Start(f.Duties()...)
		DeferCleanup(func() {
			cancel()
			for _, d := range f.Duties() {
				d.Stop()
			}
			Expect(group.Wait()).To(Succeed())
		})
		Expect(askState(f, "a").State).To(Equal(jobs.Queued))
	})
})
