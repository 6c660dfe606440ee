package httpapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	"github.com/hornbeamworks/hornbeam/operate/httpapi"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

// generous is reached only by a failure.
const generous = 30 * time.Second

// The secrets of the first configuration's keys.
const (
	operator  = "operator-secret"
	auditor   = "auditor-secret"
	submitter = "submitter-secret"
)

// desk is a desk with its table, served by HTTP.
type desk struct {
	table   *standin.Table
	view    *config.View
	members []membership.Status
	server  *httptest.Server
}

func firstConfig() model.Config {
	return model.Config{
		Classes: []model.Class{{Name: "screen", MaxWait: time.Second, Window: time.Minute, Shortage: model.Wait}},
		Teams:   []model.Team{{Name: "north", Share: 400, Limit: model.Resources{1000, 1000, 0, 10, 10}}},
		Domains: []model.Domain{{Name: "a", Shards: 1}, {Name: "b", Shards: 1}},
		Keys: []model.Key{
			{ID: "ops", Role: model.Operator, Hash: config.HashSecret(operator)},
			{ID: "audit", Role: model.Auditor, Hash: config.HashSecret(auditor)},
			{ID: "north-1", Role: model.Submitter, Team: "north", Hash: config.HashSecret(submitter)},
		},
	}
}

func newDesk() *desk {
	d := &desk{table: standin.NewTable(standin.TableOptions{}), view: config.NewView()}
	table := d.table.Client()
	keeper := config.NewKeeper(d.view, table, clock.System{})
	writer := config.NewWriter(config.WriterOptions{
		Table: table, Clock: clock.System{}, Keeper: keeper, Usage: operate.LedgerUsage(table),
	})
	served := operate.New(operate.Options{
		View: d.view, Writer: writer, Table: table, Clock: clock.System{},
		Members: func() []membership.Status { return d.members },
	})
	duties := append([]duty.Runner{d.table.Duty()}, keeper.Duties()...)
	duties = append(append(duties, writer.Duties()...), served.Duties()...)
	group := duty.NewGroup(context.Background())
	group.Start(duties...)
	DeferCleanup(func() {
		for i := len(duties) - 1; i >= 0; i-- {
			duties[i].Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	Expect(config.Initialise(context.Background(), table, firstConfig())).To(Succeed())
	keeper.ReadNow()
	Eventually(func() bool { return d.view.Fresh(time.Now()) }).WithTimeout(generous).Should(BeTrue())
	d.server = httptest.NewServer(httpapi.Handler(served))
	DeferCleanup(d.server.Close)
	return d
}

// call makes a call and reads the reply into an optional value.
func (d *desk) call(secret, method, path, body string, into any) int {
	GinkgoHelper()
	request, err := http.NewRequest(method, d.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(raw)).NotTo(ContainSubstring(config.HashSecret(operator)), "no reply holds a hash")
	Expect(json.Unmarshal(raw, into)).To(Succeed())
	return response.StatusCode
}

var _ = Describe("Operators' interface", func() {
	var d *desk
	BeforeEach(func() { d = newDesk() })

	It("shows what is set without the keys' hashes", func() {
		var shown operate.Shown
		Expect(d.call(auditor, "GET", "/v1/operate/config", "", &shown)).To(Equal(http.StatusOK))
		Expect(shown.Config.Keys).To(HaveLen(3))
		Expect(shown.Config.Keys[0].Hash).To(BeEmpty())
	})

	DescribeTable("refuses by role", func(secret, method, path string, code result.Code) {
		var reply httpapi.ChangeReply
		Expect(d.call(secret, method, path, `{"out":true}`, &reply)).NotTo(Equal(http.StatusOK))
		Expect(reply.Code).To(Equal(code))
		Expect(d.view.Version()).To(Equal(model.ConfigVersion(1)))
	},
		Entry("a change without a key", "", "PUT", "/v1/operate/domains/a/service", result.BadKey),
		Entry("a change by a stranger", "guess", "PUT", "/v1/operate/domains/a/service", result.BadKey),
		Entry("a change by an auditor", auditor, "PUT", "/v1/operate/domains/a/service", result.NotAllowed),
		Entry("a look by a submitter", submitter, "GET", "/v1/operate/config", result.NotAllowed),
	)

	It("grants a key whose secret works until it is withdrawn", func() {
		var granted, withdrawn httpapi.ChangeReply
		Expect(d.call(operator, "POST", "/v1/operate/keys/ops-2?base=1", `{"role":"operator"}`, &granted)).To(Equal(http.StatusOK))
		Expect(granted.Secret).NotTo(BeEmpty())
		look := func() int {
			var shown operate.Shown
			return d.call(granted.Secret, "GET", "/v1/operate/config", "", &shown)
		}
		Eventually(look).WithTimeout(generous).Should(Equal(http.StatusOK))
		Expect(d.call(operator, "DELETE", "/v1/operate/keys/ops-2", "", &withdrawn)).To(Equal(http.StatusOK))
		Eventually(look).WithTimeout(generous).Should(Equal(http.StatusUnauthorized))
	})

	It("shows both sides of a race", func() {
		var first, second httpapi.ChangeReply
		path := "/v1/operate/teams/north?base=1"
		Expect(d.call(operator, "PUT", path, `{"share":300,"limit":[1000,1000,0,10,10]}`, &first)).To(Equal(http.StatusOK))
		Expect(d.call(operator, "PUT", path, `{"share":200,"limit":[1000,1000,0,10,10]}`, &second)).To(Equal(http.StatusConflict))
		Expect(second.Theirs[0].Summary).To(ContainSubstring("share=300"))
		Expect(second.Ours.Summary).To(ContainSubstring("share=200"))
	})

	It("says domain by domain where a version is in force, and which domain is cut off", func() {
		d.members = []membership.Status{
			{Member: membership.Member{Domain: "a", Address: "a:1", Config: 1}, State: membership.Alive},
			{Member: membership.Member{Domain: "a", Address: "a:2", Config: 0}, State: membership.Alive},
			{Member: membership.Member{Domain: "a", Address: "a:3", Config: 0}, State: membership.Left},
			{Member: membership.Member{Domain: "b", Address: "b:1", Config: 1}, State: membership.Dead},
		}
		var force operate.Force
		Expect(d.call(auditor, "GET", "/v1/operate/force?version=1", "", &force)).To(Equal(http.StatusOK))
		Expect(force.Domains).To(Equal([]operate.DomainForce{
			{Domain: "a", Spread: operate.Spreading, Acting: 1, Answering: 2, Behind: []string{"a:2"}},
			{Domain: "b", Spread: operate.CutOff, Silent: []string{"b:1"}},
		}))
	})

	It("shows who changed what", func() {
		var reply httpapi.ChangeReply
		Expect(d.call(operator, "PUT", "/v1/operate/domains/a/service", `{"out":true}`, &reply)).To(Equal(http.StatusOK))
		var log operate.Log
		Expect(d.call(auditor, "GET", "/v1/operate/audit", "", &log)).To(Equal(http.StatusOK))
		Expect(log.Entries).To(HaveLen(1))
		Expect(log.Entries[0].String()).To(Equal("version 2 by ops: failure domain a taken out of service"))
	})

	It("shows how far the limits are in force", func() {
		var limits operate.Limits
		Expect(d.call(auditor, "GET", "/v1/operate/limits", "", &limits)).To(Equal(http.StatusOK))
		Expect(limits.Teams).To(HaveLen(1))
		Expect(limits.Teams[0].Limit[model.Slots]).To(Equal(int64(10)))
	})

	It("refuses operators once the view is stale, in a store outage", func() {
		Expect(d.table.SetFaults(context.Background(), standin.TableFaults{Outage: true})).To(Succeed())
		Eventually(func() result.Code {
			var reply httpapi.ChangeReply
			d.call(operator, "PUT", "/v1/operate/domains/a/service", `{"out":true}`, &reply)
			return reply.Code
		}).WithTimeout(generous).Should(Equal(result.ConfigStale))
	})

	DescribeTable("refuses what it cannot read", func(method, path, body string) {
		var reply httpapi.ChangeReply
		Expect(d.call(operator, method, path, body, &reply)).To(Equal(http.StatusBadRequest))
		Expect(reply.Code).To(Equal(result.Malformed))
	},
		Entry("no body", "PUT", "/v1/operate/teams/north", ""),
		Entry("an unknown field", "PUT", "/v1/operate/teams/north", `{"weight":7}`),
		Entry("two bodies", "PUT", "/v1/operate/domains/a/service", `{"out":true}{}`),
		Entry("a wrong version", "GET", "/v1/operate/force?version=new", ""),
		Entry("a wrong base", "DELETE", "/v1/operate/keys/k?base=-1", ""),
		Entry("a huge body", "PUT", "/v1/operate/teams/north", `{"name":"`+strings.Repeat("x", 1<<20)+`"}`),
	)
})
