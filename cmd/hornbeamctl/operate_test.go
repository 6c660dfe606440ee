package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
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
	"github.com/hornbeamworks/hornbeam/standin"
)

// operatorSecret is the secret of the first operator's key.
const operatorSecret = "operator-secret"

// operatorFixture serves the operators' API in the test's process. The only
// member of domain a applies the view's configuration; the member of domain b
// is dead when domainBDead is set.
type operatorFixture struct {
	server      *httptest.Server
	view        *config.View
	domainBDead bool
	keys        string
}

func newOperatorFixture() *operatorFixture {
	d := &operatorFixture{view: config.NewView(), keys: GinkgoT().TempDir()}
	table := standin.NewTable(standin.TableOptions{})
	configStore := config.NewStore(d.view, table.Client(), clock.System{})
	writer := config.NewWriter(config.WriterOptions{Table: table.Client(), Clock: clock.System{}, Store: configStore})
	operatorAPI := operate.New(operate.Options{
		View: d.view, Writer: writer, Table: table.Client(), Clock: clock.System{}, Members: d.members,
	})
	duties := append([]duty.Runner{table.Duty()}, configStore.Duties()...)
	duties = append(append(duties, writer.Duties()...), operatorAPI.Duties()...)
	group := duty.NewGroup(context.Background())
	group.Start(duties...)
	DeferCleanup(func() {
		for i := len(duties) - 1; i >= 0; i-- {
			duties[i].Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	first := model.Config{
		Teams:   []model.Team{{Name: "north", Share: 400, Limit: model.Resources{1000, 1000, 0, 10, 10}}},
		Domains: []model.Domain{{Name: "a", Shards: 1}, {Name: "b", Shards: 1}},
		Keys:    []model.Key{{ID: "ops", Role: model.Operator, Hash: config.HashSecret(operatorSecret)}},
	}
	Expect(config.Initialise(context.Background(), table.Client(), first)).To(Succeed())
	configStore.ReadNow()
	Eventually(func() bool { return d.view.Fresh(time.Now()) }).WithTimeout(30 * time.Second).Should(BeTrue())
	d.server = httptest.NewServer(httpapi.Handler(operatorAPI))
	DeferCleanup(d.server.Close)
	d.saveKey("ops", operatorSecret)
	return d
}

func (d *operatorFixture) members() []membership.Status {
	b := membership.Status{
		Member: membership.Member{Domain: "b", Address: "b:1", Config: d.view.Applied()}, State: membership.Alive,
	}
	if d.domainBDead {
		b.State = membership.Dead
	}
	a := membership.Status{
		Member: membership.Member{Domain: "a", Address: "a:1", Config: d.view.Applied()}, State: membership.Alive,
	}
	return []membership.Status{a, b}
}

func (d *operatorFixture) saveKey(id, secret string) {
	Expect(os.WriteFile(filepath.Join(d.keys, id), []byte(secret), 0o600)).To(Succeed())
}

// run runs a command with the key of the given id.
func (d *operatorFixture) run(key string, arguments ...string) (out string, code int) {
	var written bytes.Buffer
	base := []string{"hornbeamctl", "--gate", d.server.URL, "--key-file", filepath.Join(d.keys, key)}
	if err := newApp(&written).Run(append(base, arguments...)); err != nil {
		return written.String() + err.Error(), exitCode(err)
	}
	return written.String(), 0
}

// mustRun runs a command as ops and fails the test unless it succeeds.
func (d *operatorFixture) mustRun(arguments ...string) string {
	GinkgoHelper()
	out, code := d.run("ops", arguments...)
	Expect(code).To(BeZero(), out)
	return out
}

var _ = Describe("Operators' commands", func() {
	var d *operatorFixture
	BeforeEach(func() { d = newOperatorFixture() })

	It("changes the fields given by flags and keeps the others", func() {
		Expect(d.mustRun("team", "set", "--slots", "12", "--wait", "north")).To(ContainSubstring("accepted as version 2"))
		out := d.mustRun("team", "list")
		Expect(out).To(MatchRegexp(`north +400/1000 +slots +12 `))
		Expect(out).To(MatchRegexp(`north +400/1000 +memory +1000 `))
		Expect(d.mustRun("change", "list")).To(MatchRegexp(`2 .* ops +team north +set share=400 .*slots=12`))
	})

	It("takes a domain out and waits until the change is in force", func() {
		out := d.mustRun("domain", "out", "--wait", "b")
		Expect(out).To(MatchRegexp(`a +in force +1 of 1`))
		Expect(d.mustRun("domain", "list")).To(MatchRegexp(`b +1 +out`))
		d.mustRun("domain", "in", "--wait", "b")
		Expect(d.mustRun("domain", "list")).To(MatchRegexp(`b +1 +in`))
	})

	It("reports an unreachable domain instead of success", func() {
		d.domainBDead = true
		out, code := d.run("ops", "rack", "out", "--wait", "a", "r1")
		Expect(code).To(Equal(exitPending))
		Expect(out).To(ContainSubstring("not known to be in force in b: cut off"))
	})

	It("grants a usable key and withdraws it", func() {
		out := d.mustRun("key", "grant", "--role", "auditor", "--wait", "watch")
		secret := regexp.MustCompile(`secret \(shown this once\): (\S+)`).FindStringSubmatch(out)
		Expect(secret).To(HaveLen(2))
		d.saveKey("watch", secret[1])
		out, code := d.run("watch", "key", "list")
		Expect(code).To(BeZero())
		Expect(out).To(MatchRegexp(`watch +auditor`))
		Expect(out).NotTo(ContainSubstring(secret[1]))
		d.mustRun("key", "withdraw", "--wait", "watch")
		_, code = d.run("watch", "key", "list")
		Expect(code).To(Equal(exitFailure))
	})

	It("reports a rejected change with its reason and exit code", func() {
		out, code := d.run("ops", "class", "set", "--max-wait", "2m", "--window", "1m", "screen")
		Expect(code).To(Equal(exitNotRun))
		Expect(out).To(ContainSubstring("the window of 1m0s is shorter than the longest wait of 2m0s"))
		_, code = d.run("ops", "team", "set")
		Expect(code).To(Equal(exitUsage))
	})
})
