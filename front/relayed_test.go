package front_test

import (
	"context"
	"encoding/json"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/front"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/platform"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
	"github.com/hornbeamworks/hornbeam/relay"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
	"github.com/hornbeamworks/hornbeam/view"
)

// servePeer serves the table to other instances and returns the address.
func servePeer(table storage.FeedTable) string {
	server := peerrpc.NewServer()
	Expect(relay.Serve(server, table)).To(Succeed())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	group.Serve(func(ctx context.Context) error { return server.Serve(ctx, listener, group.Serve) })
	DeferCleanup(func() {
		cancel()
		Expect(group.Wait()).To(Succeed())
	})
	return listener.Addr().String()
}

// closedAddress returns an address at which nothing listens.
func closedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	return listener.Addr().String()
}

var _ = Describe("A cancel at an instance that reaches the table through another one", func() {
	const parts = holder.Parts(4)
	var (
		backend *platformtest.Table
		direct  *platform.Table
		f       *front.Front
		stop    context.CancelFunc
	)
	BeforeEach(func() {
		var stopBackend func()
		backend, stopBackend = platformtest.NewTable()
		DeferCleanup(stopBackend)
		direct = platform.NewTable(backend.Address, true)
		address := servePeer(direct)
		peers := peerrpc.NewClient()
		DeferCleanup(peers.Close)
		relayed := relay.New(platform.NewTable(closedAddress(), true), peers, func() []string { return []string{address} }, clock.Boot{}, logging.Discard())
		v := view.New(fakeDecoder{}, noListener{}, clock.Boot{}, logging.Discard())
		v.Update(feed.Update{Full: true, Changes: []storage.Change{{}}, RequestedAt: clock.Boot{}.Now()})
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		f = front.New(ctx, front.Options{Parts: parts, View: v, Table: relayed, TableClock: direct, Clock: clock.Boot{}, Wall: clock.System{}, Log: logging.Discard()})
		group := duty.NewGroup(ctx)
		group.Start(f.Duties()...)
		DeferCleanup(func() {
			stop()
			for _, d := range f.Duties() {
				d.Stop()
			}
			Expect(group.Wait()).To(Succeed())
		})
	})
	rowCancelled := func() bool {
		row, err := direct.Get(context.Background(), parts.Key(holder.JobsTable, "a"))
		Expect(err).NotTo(HaveOccurred())
		var job jobs.Job
		Expect(json.Unmarshal(row.Value, &job)).To(Succeed())
		return job.Cancelled
	}

	It("is answered from the cancelled row, and bars an ID that is not accepted", func() {
		Expect(submit(f, "a", "key").Code).To(Equal(result.OK))
		Expect(cancelJob(f, "a", "key").Basis).To(Equal(front.CancelledNow))
		Expect(rowCancelled()).To(BeTrue())
		Expect(cancelJob(f, "a", "key").Basis).To(Equal(front.CancelledBefore))
		Expect(cancelJob(f, "b", "key").Basis).To(Equal(front.BarredNow))
		Expect(cancelJob(f, "b", "key").Basis).To(Equal(front.BarredBefore))
		Expect(submit(f, "b", "key").Code).To(Equal(result.Cancelled))
	})

	It("is answered from the cancelled row if the replies to its writes are lost", func() {
		Expect(submit(f, "a", "key").Code).To(Equal(result.OK))
		backend.SetFaultMode(platformtest.LosingReplies)
		answer := cancelJob(f, "a", "key")
		Expect(answer.Code).To(Equal(result.OK))
		Expect(answer.Basis).To(Equal(front.CancelledBefore))
		Expect(rowCancelled()).To(BeTrue())
	})

	It("is not acknowledged while the table refuses or does not reply, or once the instance stops", func() {
		Expect(submit(f, "a", "key").Code).To(Equal(result.OK))
		expectNone := func() {
			GinkgoHelper()
			for _, id := range []string{"a", "b"} {
				Expect(cancelJob(f, id, "key").Code).To(BeElementOf(result.StoreUnavailable, result.OutcomeUnknown, result.Busy))
			}
		}
		backend.SetFaultMode(platformtest.Refusing)
		expectNone()
		backend.SetFaultMode(platformtest.Silent)
		expectNone()
		backend.SetFaultMode(platformtest.Serving)
		// An impossible ID is answered by the writer of job a, and nothing is written for it.
		Eventually(func() result.Code { return cancelJob(f, "a.b", "key").Code }, "5s", "100ms").Should(Equal(result.UnknownRequest))
		backend.SetFaultMode(platformtest.Silent)
		inFlight := time.AfterFunc(100*time.Millisecond, stop)
		defer inFlight.Stop()
		expectNone()
		stop()
		backend.SetFaultMode(platformtest.Serving)
		expectNone()
		Expect(rowCancelled()).To(BeFalse())
	})
})
