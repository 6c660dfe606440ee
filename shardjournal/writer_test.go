package shardjournal_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/shardjournal"
	"github.com/hornbeamworks/hornbeam/standin"
	"github.com/hornbeamworks/hornbeam/storage"
)

const waitTimeout = 30 * time.Second

var id = model.ShardID{Domain: "a"}

var settings = shardjournal.Settings{
	RowInterval: 100 * time.Millisecond, RowEntries: 8, SnapshotRows: 4, Retention: time.Minute,
	Timeout: time.Second, Retry: 50 * time.Millisecond, DownAfter: 300 * time.Millisecond,
}

// recordingListener records what a journal has reported.
type recordingListener struct {
	image    *shardjournal.Image
	durable  uint64
	storeUp  []bool
	fencings int
}

func (h *recordingListener) Replayed(_ model.Epoch, image *shardjournal.Image) { h.image = image }
func (h *recordingListener) Durable(_ model.Epoch, number uint64)              { h.durable = number }
func (h *recordingListener) StoreStateChanged(_ model.Epoch, up bool) {
	h.storeUp = append(h.storeUp, up)
}
func (h *recordingListener) Fenced(model.Epoch) { h.fencings++ }

// fixture is a table, an object store, a snapshotter and a clock.
type fixture struct {
	ctx     context.Context
	clock   *clock.Manual
	table   *standin.Table
	objects *standin.ObjectStore
	snaps   *shardjournal.Snapshotter
}

func newFixture() *fixture {
	f := &fixture{
		ctx: context.Background(), clock: clock.NewManual(time.Unix(1000, 0)),
		table: standin.NewTable(standin.TableOptions{}), objects: standin.NewObjectStore(),
	}
	f.snaps = shardjournal.NewSnapshotter("snap", id, time.Second, f.table.Client(), f.objects.Client())
	group := duty.NewGroup(f.ctx)
	runners := []duty.Runner{f.table.Duty(), f.objects.Duty(), f.snaps.Duty()}
	group.Start(runners...)
	DeferCleanup(func() {
		for i := range runners {
			runners[len(runners)-1-i].Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	return f
}

// takeEpoch writes the epoch row and returns its new version.
func (f *fixture) takeEpoch() model.Epoch {
	table := f.table.Client()
	Expect(table.Commit(f.ctx, storage.Txn{Writes: []storage.Write{{Key: shard.EpochKey(id), Value: []byte("{}")}}})).To(Succeed())
	row, err := table.Get(f.ctx, shard.EpochKey(id))
	Expect(err).NotTo(HaveOccurred())
	return model.Epoch(row.Version)
}

// open returns a writer that has been opened under a new epoch.
func (f *fixture) open(name model.InstanceID) (*shardjournal.Writer, *recordingListener, model.Epoch) {
	h := &recordingListener{}
	w := shardjournal.NewWriter(id, name, settings, f.table.Client(), f.objects.Client(), f.clock, h, f.snaps)
	epoch := f.takeEpoch()
	w.Handle([]shardjournal.Message{shardjournal.Open{Epoch: epoch}})
	return w, h, epoch
}

func (f *fixture) setTableFaults(faults standin.TableFaults) {
	Expect(f.table.SetFaults(f.ctx, faults)).To(Succeed())
}

func (f *fixture) writes() int64 {
	stats, err := f.table.Stats(f.ctx)
	Expect(err).NotTo(HaveOccurred())
	return stats.Writes
}

func requestID(i int) model.RequestID { return model.RequestID(fmt.Sprintf("0-%d-a", i)) }

// acceptMessages returns messages that append n accepted requests, numbered from
// first.
func acceptMessages(epoch model.Epoch, first, n int) []shardjournal.Message {
	var messages []shardjournal.Message
	for i := first; i < first+n; i++ {
		request := &model.Request{ID: requestID(i), Team: "t", Spec: model.Spec{Class: "c"}}
		messages = append(messages, shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Accepted: request}})
	}
	return messages
}

// replay returns the image that a successor would read.
func (f *fixture) replay() *shardjournal.Image {
	image, _, err := shardjournal.Replay(f.ctx, f.table.Client(), f.objects.Client(), id)
	Expect(err).NotTo(HaveOccurred())
	return image
}

var _ = Describe("Writer", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("writes a single entry immediately and batches entries while the pace delays a row", func() {
		w, h, epoch := f.open("one")
		before := f.writes()
		w.Handle(acceptMessages(epoch, 0, 1))
		Expect(h.durable).To(Equal(uint64(1)))
		w.Handle(acceptMessages(epoch, 1, 3))
		wait := w.Handle(acceptMessages(epoch, 4, 3))
		Expect(h.durable).To(Equal(uint64(1)), "the row is written before the pace allows it")
		Expect(wait).To(Equal(settings.RowInterval))
		f.clock.Advance(settings.RowInterval)
		w.Handle(nil)
		Expect(h.durable).To(Equal(uint64(7)))
		Expect(f.writes() - before).To(Equal(int64(2)))
		Expect(f.replay().Records).To(HaveLen(7))
	})

	It("resolves a lost reply by reading the row back, and writes the row once", func() {
		w, h, epoch := f.open("one")
		f.setTableFaults(standin.TableFaults{LoseReplies: 1})
		w.Handle(acceptMessages(epoch, 0, 3))
		Expect(h.durable).To(BeZero())
		w.Handle(nil)
		Expect(h.durable).To(Equal(uint64(3)))
		Expect(f.replay().Records).To(HaveLen(3))
		Expect(h.fencings).To(BeZero())
	})

	It("reports an outage of the store and then writes the queued entries in order and paced", func() {
		w, h, epoch := f.open("one")
		f.setTableFaults(standin.TableFaults{Outage: true})
		w.Handle(acceptMessages(epoch, 0, 50))
		for range 10 {
			f.clock.Advance(settings.DownAfter)
			Expect(w.Handle(nil)).To(Equal(settings.Retry))
		}
		Expect(h.storeUp).To(Equal([]bool{false}))
		Expect(h.durable).To(BeZero())
		f.setTableFaults(standin.TableFaults{})
		before := f.writes()
		for range 10 {
			w.Handle(nil)
			f.clock.Advance(settings.RowInterval)
		}
		Expect(h.storeUp).To(Equal([]bool{false, true}))
		Expect(h.durable).To(Equal(uint64(50)))
		Eventually(func() int { return len(f.replay().Records) }).WithTimeout(waitTimeout).Should(Equal(50))
		rows := int64(50/settings.RowEntries + 1)
		Expect(f.writes()-before).To(BeNumerically("<=", rows+4), "the rows and a few writes of the snapshot")
	})

	It("detects that its epoch has ended and writes nothing more", func() {
		w, h, epoch := f.open("one")
		successor, _, next := f.open("two")
		w.Handle(acceptMessages(epoch, 0, 1))
		w.Handle(nil)
		Expect(h.fencings).To(Equal(1))
		Expect(h.durable).To(BeZero())
		successor.Handle(acceptMessages(next, 7, 1))
		w.Handle(acceptMessages(epoch, 1, 1))
		Expect(f.replay().Records).To(HaveLen(1))
		Expect(f.replay().Records).To(HaveKey(requestID(7)))
	})

	It("gives the successor all durable entries, from the snapshot and the rows", func() {
		w, h, epoch := f.open("one")
		for i := range 3*settings.SnapshotRows + 2 {
			w.Handle(acceptMessages(epoch, i, 1))
			f.clock.Advance(settings.RowInterval)
		}
		answered := shardjournal.Answered{Answer: model.Answer{ID: requestID(0), Code: 100, Parts: []model.Part{{Output: "x"}}}, At: f.clock.Now()}
		members := shardjournal.Members{Endpoints: []model.EndpointInfo{{ID: "a1"}}}
		w.Handle([]shardjournal.Message{
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Answered: &answered}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Members: &members}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Intent: &shardjournal.Intent{Attempt: model.AttemptID{Task: model.TaskID{Request: requestID(1)}, Number: 1}, Endpoint: "a1"}}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Done: &shardjournal.Done{Request: requestID(2), Part: model.Part{Output: "y"}}}},
		})
		Expect(h.durable).To(Equal(uint64(3*settings.SnapshotRows + 6)))
		// A snapshot that was rejected because another was waiting is retried with the
		// next row, so the test keeps writing rows.
		Eventually(func() int {
			f.clock.Advance(settings.RowInterval)
			w.Handle([]shardjournal.Message{shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Members: &members}}})
			rows, err := f.table.Client().List(f.ctx, "journal/", "", 1000)
			Expect(err).NotTo(HaveOccurred())
			return len(rows)
		}).WithTimeout(waitTimeout).Should(BeNumerically("<", 2*settings.SnapshotRows))
		_, successor, _ := f.open("two")
		image := successor.image
		Expect(image.Records).To(HaveLen(3*settings.SnapshotRows + 2))
		Expect(image.Records[requestID(0)].Answered.Answer).To(Equal(answered.Answer))
		Expect(image.Records[requestID(1)].Intents).To(HaveLen(1))
		Expect(image.Records[requestID(2)].Parts).To(Equal([]model.Part{{Output: "y"}}))
		Expect(image.Members).To(Equal(members.Endpoints))
	})

	It("removes the intent of a withdrawn start", func() {
		w, _, epoch := f.open("one")
		attempt := model.AttemptID{Task: model.TaskID{Request: requestID(0)}, Number: 1}
		w.Handle(append(acceptMessages(epoch, 0, 1),
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Intent: &shardjournal.Intent{Attempt: attempt, Endpoint: "a1"}}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Withdrawn: &attempt}}))
		Expect(f.replay().Records[requestID(0)].Intents).To(BeEmpty())
	})

	It("prunes answers after their retention", func() {
		w, _, epoch := f.open("one")
		w.Handle(acceptMessages(epoch, 0, 2))
		f.clock.Advance(settings.RowInterval)
		answered := shardjournal.Answered{Answer: model.Answer{ID: requestID(0), Code: 100}, At: f.clock.Now()}
		w.Handle([]shardjournal.Message{shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Answered: &answered}}})
		f.clock.Advance(2 * settings.Retention)
		_, successor, _ := f.open("two")
		Expect(successor.image.Records).To(HaveLen(1))
		Expect(successor.image.Records).To(HaveKey(requestID(1)))
	})

	It("keeps the rows while the object store is unavailable", func() {
		Expect(f.objects.SetFaults(f.ctx, standin.ObjectFaults{Outage: true})).To(Succeed())
		w, h, epoch := f.open("one")
		for i := range 3 * settings.SnapshotRows {
			w.Handle(acceptMessages(epoch, i, 1))
			f.clock.Advance(settings.RowInterval)
		}
		Expect(h.durable).To(Equal(uint64(3 * settings.SnapshotRows)))
		Expect(f.replay().Records).To(HaveLen(3 * settings.SnapshotRows))
	})
})
