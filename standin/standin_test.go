package standin_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/endpoint/httpendpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
	"github.com/hornbeamworks/hornbeam/storage"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

const (
	usageLag = 2 * time.Second
	listLag  = 5 * time.Second
	lease    = 3 * time.Second
)

// fixture has one stand-in of each kind on a manual clock, with HTTP clients.
type fixture struct {
	clock   *clock.Manual
	table   *standin.Table
	objects *standin.ObjectStore
	fleet   *standin.Fleet
	info    model.EndpointInfo

	remoteTable    storage.Table
	remoteObjects  storage.ObjectStore
	remoteList     storage.InstanceList
	remoteEndpoint endpoint.Endpoint
}

func newFixture() *fixture {
	f := &fixture{clock: clock.NewManual(time.Unix(1_700_000_000, 0))}
	f.info = model.EndpointInfo{
		ID: "a1", Domain: "a", Rack: "r1",
		Capacity: model.Resources{4000, 8192, 0, 2, 16},
	}
	f.table = standin.NewTable(standin.TableOptions{RecordedPrefix: "config/", Clock: f.clock})
	f.objects = standin.NewObjectStore()
	f.fleet = standin.NewFleet(standin.FleetOptions{
		UsageLag: usageLag, ListLag: listLag, Clock: f.clock,
	}, []model.EndpointInfo{f.info})
	group := duty.NewGroup(context.Background())
	group.Start(f.table.Duty(), f.objects.Duty(), f.fleet.Duty())
	server := standin.Server{Table: f.table, Objects: f.objects, Fleet: f.fleet}
	httpServer := httptest.NewServer(server.Handler())
	f.info.Address = strings.TrimPrefix(httpServer.URL, "http://")
	f.remoteTable = httpstorage.NewTable(httpServer.URL, httpServer.Client())
	f.remoteObjects = httpstorage.NewObjectStore(httpServer.URL, httpServer.Client())
	f.remoteList = httpstorage.NewInstanceList(httpServer.URL, httpServer.Client())
	f.remoteEndpoint = httpendpoint.New(httpServer.Client())
	DeferCleanup(func() {
		httpServer.Close()
		f.table.Duty().Stop()
		f.objects.Duty().Stop()
		f.fleet.Duty().Stop()
		Expect(group.Wait()).To(Succeed())
	})
	return f
}

func putTxn(key, value string) storage.Txn {
	return storage.Txn{Writes: []storage.Write{{Key: key, Value: []byte(value)}}}
}

var _ = Describe("Table", func() {
	It("applies a transaction atomically", func(ctx SpecContext) {
		f := newFixture()
		Expect(f.remoteTable.Commit(ctx, putTxn("x/1", "one"))).To(Succeed())
		both := putTxn("x/2", "two")
		both.Checks = []storage.Check{{Key: "x/1", Version: 1}, {Key: "x/2", Version: 7}}
		Expect(f.remoteTable.Commit(ctx, both)).To(MatchError(storage.ErrConflict))
		_, err := f.remoteTable.Get(ctx, "x/2")
		Expect(err).To(MatchError(storage.ErrNotFound))
	})

	It("lists a prefix in order, in pages", func(ctx SpecContext) {
		f := newFixture()
		for _, key := range []string{"x/2", "x/1", "y/1", "x/3"} {
			Expect(f.remoteTable.Commit(ctx, putTxn(key, key))).To(Succeed())
		}
		first, err := f.remoteTable.List(ctx, "x/", "", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(HaveLen(2))
		rest, err := f.remoteTable.List(ctx, "x/", first[1].Key, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(HaveLen(1))
		Expect(rest[0].Key).To(Equal("x/3"))
	})

	It("never decreases a row's version, not even after a delete", func(ctx SpecContext) {
		f := newFixture()
		Expect(f.remoteTable.Commit(ctx, putTxn("x", "1"))).To(Succeed())
		Expect(f.remoteTable.Commit(ctx, putTxn("x", "2"))).To(Succeed())
		deletion := storage.Txn{Writes: []storage.Write{{Key: "x", Delete: true}}}
		Expect(f.remoteTable.Commit(ctx, deletion)).To(Succeed())
		recreation := putTxn("x", "3")
		recreation.Checks = []storage.Check{{Key: "x", Version: 0}}
		Expect(f.remoteTable.Commit(ctx, recreation)).To(Succeed())
		row, err := f.remoteTable.Get(ctx, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Version).To(Equal(storage.RowVersion(3)))
	})

	It("loses the reply of a commit that took effect", func(ctx SpecContext) {
		f := newFixture()
		Expect(f.table.SetFaults(ctx, standin.TableFaults{LoseReplies: 1})).To(Succeed())
		Expect(f.remoteTable.Commit(ctx, putTxn("x", "1"))).To(MatchError(storage.ErrUnavailable))
		row, err := f.remoteTable.Get(ctx, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(row.Value)).To(Equal("1"))
		Expect(f.remoteTable.Commit(ctx, putTxn("x", "2"))).To(Succeed())
	})

	It("applies no commit during an outage", func(ctx SpecContext) {
		f := newFixture()
		Expect(f.table.SetFaults(ctx, standin.TableFaults{Outage: true})).To(Succeed())
		Expect(f.remoteTable.Commit(ctx, putTxn("x", "1"))).To(MatchError(storage.ErrUnavailable))
		Expect(f.table.SetFaults(ctx, standin.TableFaults{})).To(Succeed())
		_, err := f.remoteTable.Get(ctx, "x")
		Expect(err).To(MatchError(storage.ErrNotFound))
	})
})

var _ = Describe("ObjectStore", func() {
	It("stores objects under names with slashes", func(ctx SpecContext) {
		f := newFixture()
		Expect(f.remoteObjects.Put(ctx, "snapshot/a/0", []byte{0, 1, 2})).To(Succeed())
		Expect(f.remoteObjects.Get(ctx, "snapshot/a/0")).To(Equal([]byte{0, 1, 2}))
		Expect(f.remoteObjects.Delete(ctx, "snapshot/a/0")).To(Succeed())
		Expect(f.remoteObjects.Delete(ctx, "snapshot/a/0")).To(Succeed())
		_, err := f.remoteObjects.Get(ctx, "snapshot/a/0")
		Expect(err).To(MatchError(storage.ErrNotFound))
	})
})

var _ = Describe("InstanceList", func() {
	It("shows a change only after its lag", func(ctx SpecContext) {
		f := newFixture()
		Expect(f.fleet.SendEvent(ctx, standin.Leave, "a")).To(Succeed())
		infos, err := f.remoteList.Endpoints(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(infos).To(HaveLen(1))
		Expect(infos[0].Leaving).To(BeFalse())
		f.clock.Advance(listLag)
		infos, err = f.remoteList.Endpoints(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(infos[0].Leaving).To(BeTrue())
	})
})
