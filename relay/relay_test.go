package relay_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/platform"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
	"github.com/hornbeamworks/hornbeam/relay"
	"github.com/hornbeamworks/hornbeam/storage"
)

// other starts another instance that reaches the table, and returns its peer
// address.
func other(table storage.FeedTable) string {
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

var _ = Describe("A relayed table", func() {
	var (
		stand  *platformtest.Table
		direct *platform.Table
		peers  *peerrpc.Client
		ctx    context.Context
	)
	BeforeEach(func() {
		var stop func()
		stand, stop = platformtest.NewTable()
		DeferCleanup(stop)
		direct = platform.NewTable(stand.Address, true)
		peers = peerrpc.NewClient()
		DeferCleanup(peers.Close)
		ctx = context.Background()
	})
	// turnedAway returns a table whose own way leads nowhere.
	turnedAway := func(others ...string) *relay.Table {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		nowhere := platform.NewTable(listener.Addr().String(), true)
		return relay.New(nowhere, peers, func() []string { return others }, clock.Boot{}, logging.Discard())
	}
	put := storage.Txn{
		Checks: []storage.Check{{Key: "t//a"}},
		Writes: []storage.Write{{Key: "t//a", Value: []byte("x")}},
	}

	It("goes through another instance when the table turns its own away", func() {
		t := turnedAway(other(direct))
		Expect(t.Detour()).To(BeZero())
		Expect(t.Commit(ctx, put)).To(Succeed())
		Expect(t.Detour()).To(BeNumerically(">", 0))
		row, err := t.Get(ctx, "t//a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(row.Value)).To(Equal("x"))
		found, err := t.Scan(ctx, "t//")
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Rows).To(HaveLen(1))
		changes, err := t.Watch(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Changes).To(HaveLen(1))
	})

	It("hands on the table's own answers", func() {
		t := turnedAway(other(direct))
		Expect(t.Commit(ctx, put)).To(Succeed())
		Expect(eris.Is(t.Commit(ctx, put), storage.ErrConflict)).To(BeTrue())
		_, err := t.Get(ctx, "t//b")
		Expect(eris.Is(err, storage.ErrNotFound)).To(BeTrue())
	})

	It("says that nothing was done when no instance reaches the table", func() {
		stand.SetMood(platformtest.Refusing)
		Expect(eris.Is(turnedAway(other(direct)).Commit(ctx, put), storage.ErrRefused)).To(BeTrue())
		Expect(eris.Is(turnedAway().Commit(ctx, put), storage.ErrRefused)).To(BeTrue())
		Expect(stand.Writes()).To(BeZero())
	})

	It("does not say that nothing was done after a write through others got no answer", func() {
		stand.SetMood(platformtest.Refusing)
		t := turnedAway(other(direct))
		Expect(eris.Is(t.Commit(ctx, put), storage.ErrRefused)).To(BeTrue())
		stand.SetMood(platformtest.Losing)
		err := t.Commit(ctx, put)
		Expect(eris.Is(err, storage.ErrRefused)).To(BeFalse(), "%v", err)
		Expect(stand.Writes()).To(Equal(1))
	})

	It("leaves a write in doubt when its answer was lost on the way", func() {
		stand.SetMood(platformtest.Losing)
		err := turnedAway(other(direct)).Commit(ctx, put)
		Expect(eris.Is(err, storage.ErrUnavailable) || eris.Is(err, storage.ErrConflict)).To(BeTrue(), "%v", err)
		Expect(stand.Writes()).To(Equal(1))
	})
})
