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

// waitTimeout is reached only when a test fails.
const waitTimeout = 30 * time.Second

// The secrets of the first configuration's keys.
const (
	operator  = "operator-secret"
	auditor   = "auditor-secret"
	submitter = "submitter-secret"
)

// fixture is the operators' interface served over HTTP, with a stand-in table.
type fixture struct {
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

func newFixture() *fixture {
	f := &fixture{table: standin.NewTable(standin.TableOptions{}), view: config.NewView()}
	table := f.table.Client()
	store := config.NewStore(f.view, table, clock.System{})
	writer := config.NewWriter(config.WriterOptions{
		Table: table, Clock: clock.System{}, Store: store, Usage: operate.LedgerUsage(table),
	})
	service := operate.New(operate.Options{
		View: f.view, Writer: writer, Table: table, Clock: clock.System{},
		Members: func() []membership.Status { return f.members },
	})
	duties := append([]duty.Runner{f.table.Duty()}, store.Duties()...)
	duties = append(append(duties, writer.Duties()...), service.Duties()...)
	group := duty.NewGroup(context.Background())
	group.Start(duties...)
	DeferCleanup(func() {
		for i := len(duties) - 1; i >= 0; i-- {
			duties[i].Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	Expect(config.Initialise(context.Background(), table, firstConfig())).To(Succeed())
	store.ReadNow()
	Eventually(func() bool { return f.view.Fresh(time.Now()) }).WithTimeout(waitTimeout).Should(BeTrue())
	f.server = httptest.NewServer(httpapi.Handler(service))
	DeferCleanup(f.server.Close)
	return f
}

// call makes an HTTP call, decodes the reply into into and returns the status. It
// checks that the reply contains no hash of a key.
func (f *fixture) call(secret, method, path, body string, into any) int {
	GinkgoHelper()
	request, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(raw)).NotTo(ContainSubstring(config.HashSecret(operator)), "no reply may contain a hash")
	Expect(json.Unmarshal(raw, into)).To(Succeed())
	return response.StatusCode
}

var _ = Describe("Operators' interface", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("returns the configuration without the keys' hashes", func() {
		var shown operate.ConfigReply
		Expect(f.call(auditor, "GET", "/v1/operate/config", "", &shown)).To(Equal(http.StatusOK))
		Expect(shown.Config.Keys).To(HaveLen(3))
		Expect(shown.Config.Keys[0].Hash).To(BeEmpty())
	})

	DescribeTable("checks the key and its role", func(secret, method, path string, code result.Code) {
		var reply httpapi.ChangeReply
		Expect(f.call(secret, method, path, `{"out":true}`, &reply)).NotTo(Equal(http.StatusOK))
		Expect(reply.Code).To(Equal(code))
		Expect(f.view.Version()).To(Equal(model.ConfigVersion(1)))
	},
		Entry("a change without a key", "", "PUT", "/v1/operate/domains/a/service", result.BadKey),
		Entry("a change with an unknown key", "guess", "PUT", "/v1/operate/domains/a/service", result.BadKey),
		Entry("a change by an auditor", auditor, "PUT", "/v1/operate/domains/a/service", result.NotAllowed),
		Entry("a read by a submitter", submitter, "GET", "/v1/operate/config", result.NotAllowed),
	)

	It("grants a key that is accepted until it is withdrawn", func() {
		var granted, withdrawn httpapi.ChangeReply
		Expect(f.call(operator, "POST", "/v1/operate/keys/ops-2?base=1", `{"role":"operator"}`, &granted)).To(Equal(http.StatusOK))
		Expect(granted.Secret).NotTo(BeEmpty())
		showConfig := func() int {
			var shown operate.ConfigReply
			return f.call(granted.Secret, "GET", "/v1/operate/config", "", &shown)
		}
		Eventually(showConfig).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
		Expect(f.call(operator, "DELETE", "/v1/operate/keys/ops-2", "", &withdrawn)).To(Equal(http.StatusOK))
		Eventually(showConfig).WithTimeout(waitTimeout).Should(Equal(http.StatusUnauthorized))
	})

	It("returns both edits of a conflict", func() {
		var first, second httpapi.ChangeReply
		path := "/v1/operate/teams/north?base=1"
		Expect(f.call(operator, "PUT", path, `{"share":300,"limit":[1000,1000,0,10,10]}`, &first)).To(Equal(http.StatusOK))
		Expect(f.call(operator, "PUT", path, `{"share":200,"limit":[1000,1000,0,10,10]}`, &second)).To(Equal(http.StatusConflict))
		Expect(second.Theirs[0].Summary).To(ContainSubstring("share=300"))
		Expect(second.Ours.Summary).To(ContainSubstring("share=200"))
	})

	It("returns the rollout of a version for each failure domain, and which domain does not respond", func() {
		f.members = []membership.Status{
			{Member: membership.Member{Domain: "a", Address: "a:1", Config: 1}, State: membership.Alive},
			{Member: membership.Member{Domain: "a", Address: "a:2", Config: 0}, State: membership.Alive},
			{Member: membership.Member{Domain: "a", Address: "a:3", Config: 0}, State: membership.Left},
			{Member: membership.Member{Domain: "b", Address: "b:1", Config: 1}, State: membership.Dead},
		}
		var force operate.RolloutReply
		Expect(f.call(auditor, "GET", "/v1/operate/force?version=1", "", &force)).To(Equal(http.StatusOK))
		Expect(force.Domains).To(Equal([]operate.DomainRollout{
			{Domain: "a", Spread: operate.Spreading, Acting: 1, Answering: 2, Behind: []string{"a:2"}},
			{Domain: "b", Spread: operate.Unreachable, Silent: []string{"b:1"}},
		}))
	})

	It("returns the audit log", func() {
		var reply httpapi.ChangeReply
		Expect(f.call(operator, "PUT", "/v1/operate/domains/a/service", `{"out":true}`, &reply)).To(Equal(http.StatusOK))
		var log operate.AuditReply
		Expect(f.call(auditor, "GET", "/v1/operate/audit", "", &log)).To(Equal(http.StatusOK))
		Expect(log.Entries).To(HaveLen(1))
		Expect(log.Entries[0].String()).To(Equal("version 2 by ops: failure domain a taken out of service"))
	})

	It("returns the limits of the teams", func() {
		var limits operate.Limits
		Expect(f.call(auditor, "GET", "/v1/operate/limits", "", &limits)).To(Equal(http.StatusOK))
		Expect(limits.Teams).To(HaveLen(1))
		Expect(limits.Teams[0].Limit[model.Slots]).To(Equal(int64(10)))
	})

	It("refuses requests once the view is stale during a table outage", func() {
		Expect(f.table.SetFaults(context.Background(), standin.TableFaults{Outage: true})).To(Succeed())
		Eventually(func() result.Code {
			var reply httpapi.ChangeReply
			f.call(operator, "PUT", "/v1/operate/domains/a/service", `{"out":true}`, &reply)
			return reply.Code
		}).WithTimeout(waitTimeout).Should(Equal(result.ConfigStale))
	})

	DescribeTable("refuses malformed requests", func(method, path, body string) {
		var reply httpapi.ChangeReply
		Expect(f.call(operator, method, path, body, &reply)).To(Equal(http.StatusBadRequest))
		Expect(reply.Code).To(Equal(result.Malformed))
	},
		Entry("no body", "PUT", "/v1/operate/teams/north", ""),
		Entry("an unknown field", "PUT", "/v1/operate/teams/north", `{"weight":7}`),
		Entry("two bodies", "PUT", "/v1/operate/domains/a/service", `{"out":true}{}`),
		Entry("an invalid version", "GET", "/v1/operate/force?version=new", ""),
		Entry("an invalid base", "DELETE", "/v1/operate/keys/k?base=-1", ""),
		Entry("a body above the limit", "PUT", "/v1/operate/teams/north", `{"name":"`+strings.Repeat("x", 1<<20)+`"}`),
	)
})
