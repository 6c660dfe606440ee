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

// bench is one of each stand-in on a manual clock, reached by HTTP.
type bench struct {
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

func newBench() *bench {
	b := &bench{clock: clock.NewManual(time.Unix(1_700_000_000, 0))}
	b.info = model.EndpointInfo{
		ID: "a1", Domain: "a", Rack: "r1",
		Capacity: model.Resources{4000, 8192, 0, 2, 16},
	}
	b.table = standin.NewTable(standin.TableOptions{Recorded: "config/", Clock: b.clock})
	b.objects = standin.NewObjectStore()
	b.fleet = standin.NewFleet(standin.FleetOptions{
		UsageLag: usageLag, ListLag: listLag, Clock: b.clock,
	}, []model.EndpointInfo{b.info})
	group := duty.NewGroup(context.Background())
	group.Start(b.table.Duty(), b.objects.Duty(), b.fleet.Duty())
	server := standin.Server{Table: b.table, Objects: b.objects, Fleet: b.fleet}
	site := httptest.NewServer(server.Handler())
	b.info.Address = strings.TrimPrefix(site.URL, "http://")
	b.remoteTable = httpstorage.NewTable(site.URL, site.Client())
	b.remoteObjects = httpstorage.NewObjectStore(site.URL, site.Client())
	b.remoteList = httpstorage.NewInstanceList(site.URL, site.Client())
	b.remoteEndpoint = httpendpoint.New(site.Client())
	DeferCleanup(func() {
		site.Close()
		b.table.Duty().Stop()
		b.objects.Duty().Stop()
		b.fleet.Duty().Stop()
		Expect(group.Wait()).To(Succeed())
	})
	return b
}

func put(key, value string) storage.Txn {
	return storage.Txn{Writes: []storage.Write{{Key: key, Value: []byte(value)}}}
}

var _ = Describe("Table", func() {
	It("carries out a transaction whole or not at all", func(ctx SpecContext) {
		b := newBench()
		Expect(b.remoteTable.Commit(ctx, put("x/1", "one"))).To(Succeed())
		both := put("x/2", "two")
		both.Checks = []storage.Check{{Key: "x/1", Version: 1}, {Key: "x/2", Version: 7}}
		Expect(b.remoteTable.Commit(ctx, both)).To(MatchError(storage.ErrConflict))
		_, err := b.remoteTable.Get(ctx, "x/2")
		Expect(err).To(MatchError(storage.ErrNotFound))
	})

	It("lists a prefix in order, in pages", func(ctx SpecContext) {
		b := newBench()
		for _, key := range []string{"x/2", "x/1", "y/1", "x/3"} {
			Expect(b.remoteTable.Commit(ctx, put(key, key))).To(Succeed())
		}
		first, err := b.remoteTable.List(ctx, "x/", "", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(HaveLen(2))
		rest, err := b.remoteTable.List(ctx, "x/", first[1].Key, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(HaveLen(1))
		Expect(rest[0].Key).To(Equal("x/3"))
	})

	It("never takes a row version back, not even after a delete", func(ctx SpecContext) {
		b := newBench()
		Expect(b.remoteTable.Commit(ctx, put("x", "1"))).To(Succeed())
		Expect(b.remoteTable.Commit(ctx, put("x", "2"))).To(Succeed())
		gone := storage.Txn{Writes: []storage.Write{{Key: "x", Delete: true}}}
		Expect(b.remoteTable.Commit(ctx, gone)).To(Succeed())
		fresh := put("x", "3")
		fresh.Checks = []storage.Check{{Key: "x", Version: 0}}
		Expect(b.remoteTable.Commit(ctx, fresh)).To(Succeed())
		row, err := b.remoteTable.Get(ctx, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Version).To(Equal(storage.RowVersion(3)))
	})

	It("loses a reply after the commit took effect", func(ctx SpecContext) {
		b := newBench()
		Expect(b.table.SetFaults(ctx, standin.TableFaults{LoseReplies: 1})).To(Succeed())
		Expect(b.remoteTable.Commit(ctx, put("x", "1"))).To(MatchError(storage.ErrUnavailable))
		row, err := b.remoteTable.Get(ctx, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(row.Value)).To(Equal("1"))
		Expect(b.remoteTable.Commit(ctx, put("x", "2"))).To(Succeed())
	})

	It("does nothing in an outage", func(ctx SpecContext) {
		b := newBench()
		Expect(b.table.SetFaults(ctx, standin.TableFaults{Outage: true})).To(Succeed())
		Expect(b.remoteTable.Commit(ctx, put("x", "1"))).To(MatchError(storage.ErrUnavailable))
		Expect(b.table.SetFaults(ctx, standin.TableFaults{})).To(Succeed())
		_, err := b.remoteTable.Get(ctx, "x")
		Expect(err).To(MatchError(storage.ErrNotFound))
	})
})

var _ = Describe("ObjectStore", func() {
	It("keeps whole objects under names with slashes", func(ctx SpecContext) {
		b := newBench()
		Expect(b.remoteObjects.Put(ctx, "snapshot/a/0", []byte{0, 1, 2})).To(Succeed())
		Expect(b.remoteObjects.Get(ctx, "snapshot/a/0")).To(Equal([]byte{0, 1, 2}))
		Expect(b.remoteObjects.Delete(ctx, "snapshot/a/0")).To(Succeed())
		Expect(b.remoteObjects.Delete(ctx, "snapshot/a/0")).To(Succeed())
		_, err := b.remoteObjects.Get(ctx, "snapshot/a/0")
		Expect(err).To(MatchError(storage.ErrNotFound))
	})
})

var _ = Describe("InstanceList", func() {
	It("shows a change only after its lag", func(ctx SpecContext) {
		b := newBench()
		Expect(b.fleet.Do(ctx, standin.Leave, "a")).To(Succeed())
		infos, err := b.remoteList.Endpoints(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(infos).To(HaveLen(1))
		Expect(infos[0].Leaving).To(BeFalse())
		b.clock.Advance(listLag)
		infos, err = b.remoteList.Endpoints(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(infos[0].Leaving).To(BeTrue())
	})
})
