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

const deadline = 30 * time.Second

var id = model.ShardID{Domain: "a"}

var settings = shardjournal.Settings{
	Pace: 100 * time.Millisecond, RowEntries: 8, SnapshotRows: 4, Retention: time.Minute,
	Timeout: time.Second, Retry: 50 * time.Millisecond, DownAfter: 300 * time.Millisecond,
}

// heard is what a journal has told.
type heard struct {
	image    *shardjournal.Image
	durable  uint64
	storeUp  []bool
	fencings int
}

func (h *heard) Replayed(_ model.Epoch, image *shardjournal.Image) { h.image = image }
func (h *heard) Durable(_ model.Epoch, number uint64)              { h.durable = number }
func (h *heard) Store(_ model.Epoch, up bool)                      { h.storeUp = append(h.storeUp, up) }
func (h *heard) Fenced(model.Epoch)                                { h.fencings++ }

// bench is a table, an object store and a clock.
type bench struct {
	ctx     context.Context
	clock   *clock.Manual
	table   *standin.Table
	objects *standin.ObjectStore
	snaps   *shardjournal.Snapshotter
}

func newBench() *bench {
	b := &bench{
		ctx: context.Background(), clock: clock.NewManual(time.Unix(1000, 0)),
		table: standin.NewTable(standin.TableOptions{}), objects: standin.NewObjectStore(),
	}
	b.snaps = shardjournal.NewSnapshotter("snap", id, time.Second, b.table.Client(), b.objects.Client())
	group := duty.NewGroup(b.ctx)
	runners := []duty.Runner{b.table.Duty(), b.objects.Duty(), b.snaps.Duty()}
	group.Start(runners...)
	DeferCleanup(func() {
		for i := range runners {
			runners[len(runners)-1-i].Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	return b
}

// takeEpoch writes the epoch row once more and returns its version.
func (b *bench) takeEpoch() model.Epoch {
	table := b.table.Client()
	Expect(table.Commit(b.ctx, storage.Txn{Writes: []storage.Write{{Key: shard.EpochKey(id), Value: []byte("{}")}}})).To(Succeed())
	row, err := table.Get(b.ctx, shard.EpochKey(id))
	Expect(err).NotTo(HaveOccurred())
	return model.Epoch(row.Version)
}

// open starts a writer under a new epoch.
func (b *bench) open(name model.InstanceID) (*shardjournal.Writer, *heard, model.Epoch) {
	h := &heard{}
	w := shardjournal.NewWriter(id, name, settings, b.table.Client(), b.objects.Client(), b.clock, h, b.snaps)
	epoch := b.takeEpoch()
	w.Handle([]shardjournal.Message{shardjournal.Open{Epoch: epoch}})
	return w, h, epoch
}

func (b *bench) faults(f standin.TableFaults) { Expect(b.table.SetFaults(b.ctx, f)).To(Succeed()) }

func (b *bench) writes() int64 {
	stats, err := b.table.Stats(b.ctx)
	Expect(err).NotTo(HaveOccurred())
	return stats.Writes
}

func name(i int) model.RequestID { return model.RequestID(fmt.Sprintf("0-%d-a", i)) }

// accept returns the messages that accept n requests from the first on.
func accept(epoch model.Epoch, first, n int) []shardjournal.Message {
	var messages []shardjournal.Message
	for i := first; i < first+n; i++ {
		request := &model.Request{ID: name(i), Team: "t", Spec: model.Spec{Class: "c"}}
		messages = append(messages, shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Accepted: request}})
	}
	return messages
}

// replay returns what a successor would read.
func (b *bench) replay() *shardjournal.Image {
	image, _, err := shardjournal.Replay(b.ctx, b.table.Client(), b.objects.Client(), id)
	Expect(err).NotTo(HaveOccurred())
	return image
}

var _ = Describe("Writer", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	It("writes at once when idle and many entries to a row when busy", func() {
		w, h, epoch := b.open("one")
		before := b.writes()
		w.Handle(accept(epoch, 0, 1))
		Expect(h.durable).To(Equal(uint64(1)))
		w.Handle(accept(epoch, 1, 3))
		wait := w.Handle(accept(epoch, 4, 3))
		Expect(h.durable).To(Equal(uint64(1)), "the pace holds the row back")
		Expect(wait).To(Equal(settings.Pace))
		b.clock.Advance(settings.Pace)
		w.Handle(nil)
		Expect(h.durable).To(Equal(uint64(7)))
		Expect(b.writes() - before).To(Equal(int64(2)))
		Expect(b.replay().Records).To(HaveLen(7))
	})

	It("settles a lost reply by reading the row back, and writes it once", func() {
		w, h, epoch := b.open("one")
		b.faults(standin.TableFaults{LoseReplies: 1})
		w.Handle(accept(epoch, 0, 3))
		Expect(h.durable).To(BeZero())
		w.Handle(nil)
		Expect(h.durable).To(Equal(uint64(3)))
		Expect(b.replay().Records).To(HaveLen(3))
		Expect(h.fencings).To(BeZero())
	})

	It("says when the store is down and works off what waits, in order and paced, when it is back", func() {
		w, h, epoch := b.open("one")
		b.faults(standin.TableFaults{Outage: true})
		w.Handle(accept(epoch, 0, 50))
		for range 10 {
			b.clock.Advance(settings.DownAfter)
			Expect(w.Handle(nil)).To(Equal(settings.Retry))
		}
		Expect(h.storeUp).To(Equal([]bool{false}))
		Expect(h.durable).To(BeZero())
		b.faults(standin.TableFaults{})
		before := b.writes()
		for range 10 {
			w.Handle(nil)
			b.clock.Advance(settings.Pace)
		}
		Expect(h.storeUp).To(Equal([]bool{false, true}))
		Expect(h.durable).To(Equal(uint64(50)))
		Eventually(func() int { return len(b.replay().Records) }).WithTimeout(deadline).Should(Equal(50))
		rows := int64(50/settings.RowEntries + 1)
		Expect(b.writes()-before).To(BeNumerically("<=", rows+4), "and the snapshot's few")
	})

	It("notices that its epoch is over and writes nothing more", func() {
		w, h, epoch := b.open("one")
		successor, _, next := b.open("two")
		w.Handle(accept(epoch, 0, 1))
		w.Handle(nil)
		Expect(h.fencings).To(Equal(1))
		Expect(h.durable).To(BeZero())
		successor.Handle(accept(next, 7, 1))
		w.Handle(accept(epoch, 1, 1))
		Expect(b.replay().Records).To(HaveLen(1))
		Expect(b.replay().Records).To(HaveKey(name(7)))
	})

	It("hands the successor all that was on record, from the snapshot and the rows", func() {
		w, h, epoch := b.open("one")
		for i := range 3*settings.SnapshotRows + 2 {
			w.Handle(accept(epoch, i, 1))
			b.clock.Advance(settings.Pace)
		}
		answered := shardjournal.Answered{Answer: model.Answer{ID: name(0), Code: 100, Parts: []model.Part{{Output: "x"}}}, At: b.clock.Now()}
		members := shardjournal.Members{Endpoints: []model.EndpointInfo{{ID: "a1"}}}
		w.Handle([]shardjournal.Message{
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Answered: &answered}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Members: &members}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Intent: &shardjournal.Intent{Attempt: model.AttemptID{Task: model.TaskID{Request: name(1)}, Number: 1}, Endpoint: "a1"}}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Done: &shardjournal.Done{Request: name(2), Part: model.Part{Output: "y"}}}},
		})
		Expect(h.durable).To(Equal(uint64(3*settings.SnapshotRows + 6)))
		// A snapshot that the snapshotter was too busy for is made with the next
		// row, so rows go on.
		Eventually(func() int {
			b.clock.Advance(settings.Pace)
			w.Handle([]shardjournal.Message{shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Members: &members}}})
			rows, err := b.table.Client().List(b.ctx, "journal/", "", 1000)
			Expect(err).NotTo(HaveOccurred())
			return len(rows)
		}).WithTimeout(deadline).Should(BeNumerically("<", 2*settings.SnapshotRows))
		_, successor, _ := b.open("two")
		image := successor.image
		Expect(image.Records).To(HaveLen(3*settings.SnapshotRows + 2))
		Expect(image.Records[name(0)].Answered.Answer).To(Equal(answered.Answer))
		Expect(image.Records[name(1)].Intents).To(HaveLen(1))
		Expect(image.Records[name(2)].Parts).To(Equal([]model.Part{{Output: "y"}}))
		Expect(image.Members).To(Equal(members.Endpoints))
	})

	It("keeps no intent of a start that was withdrawn", func() {
		w, _, epoch := b.open("one")
		attempt := model.AttemptID{Task: model.TaskID{Request: name(0)}, Number: 1}
		w.Handle(append(accept(epoch, 0, 1),
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Intent: &shardjournal.Intent{Attempt: attempt, Endpoint: "a1"}}},
			shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Withdrawn: &attempt}}))
		Expect(b.replay().Records[name(0)].Intents).To(BeEmpty())
	})

	It("forgets answers after their retention", func() {
		w, _, epoch := b.open("one")
		w.Handle(accept(epoch, 0, 2))
		b.clock.Advance(settings.Pace)
		answered := shardjournal.Answered{Answer: model.Answer{ID: name(0), Code: 100}, At: b.clock.Now()}
		w.Handle([]shardjournal.Message{shardjournal.Append{Epoch: epoch, Entry: shardjournal.Entry{Answered: &answered}}})
		b.clock.Advance(2 * settings.Retention)
		_, successor, _ := b.open("two")
		Expect(successor.image.Records).To(HaveLen(1))
		Expect(successor.image.Records).To(HaveKey(name(1)))
	})

	It("keeps the rows when the object store is down", func() {
		Expect(b.objects.SetFaults(b.ctx, standin.ObjectFaults{Outage: true})).To(Succeed())
		w, h, epoch := b.open("one")
		for i := range 3 * settings.SnapshotRows {
			w.Handle(accept(epoch, i, 1))
			b.clock.Advance(settings.Pace)
		}
		Expect(h.durable).To(Equal(uint64(3 * settings.SnapshotRows)))
		Expect(b.replay().Records).To(HaveLen(3 * settings.SnapshotRows))
	})
})
