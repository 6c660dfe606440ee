package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/load"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

var _ = DescribeTable("A workload fits its deployment", func(name string) {
	workload, err := load.Read("../workloads/" + name)
	Expect(err).NotTo(HaveOccurred())
	fleet, err := deployment.Load("../deploy/" + name)
	Expect(err).NotTo(HaveOccurred())
	config := fleet.Config(nil)
	used := map[model.ClassName]bool{}
	for _, s := range workload.Streams {
		class, found := config.Class(model.ClassName(s.Class))
		Expect(found).To(BeTrue(), s.Class)
		_, found = config.Team(model.TeamName(s.Team))
		Expect(found).To(BeTrue(), s.Team)
		Expect(s.NotRepeatable).To(Equal(!class.Repeatable), s.Name)
		used[class.Name] = true
	}
	Expect(used).To(HaveLen(len(config.Classes)), "every class has a stream")
},
	Entry("of the consortium", "consortium.ini"),
	Entry("of Zarqa", "zarqa.ini"),
)

// entry is a fake entry instance that answers correctly, except for the configured
// faults.
type entry struct {
	// mu guards the fields below: the HTTP server calls ServeHTTP concurrently.
	mu    sync.Mutex
	specs map[model.RequestID]model.Spec
	// Every dropEvery-th call gets a load balancer's error page instead of its
	// reply; 0 means none. corrupt changes each answer.
	dropEvery, calls int
	corrupt          func(*model.Answer)
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := model.RequestID("0-" + r.Header.Get("Idempotency-Key") + "-fd1")
	if r.Method == http.MethodPost {
		var spec model.Spec
		_ = json.NewDecoder(r.Body).Decode(&spec)
		e.specs[id] = spec
	} else {
		id = model.RequestID(filepath.Base(r.URL.Path))
	}
	e.calls++
	if e.dropEvery > 0 && e.calls%e.dropEvery == 0 {
		_, _ = w.Write([]byte("<html>bad gateway</html>"))
		return
	}
	if r.Method == http.MethodPost {
		_ = json.NewEncoder(w).Encode(result.Answer(id, result.Pending, ""))
		return
	}
	answer := model.Answer{ID: id, Code: int(result.OK), Ran: model.DidRun}
	for i := range max(e.specs[id].Tasks, 1) {
		answer.Parts = append(answer.Parts, model.Part{Index: i, Output: standin.Output(e.specs[id].Payload, id, i)})
	}
	e.corrupt(&answer)
	_ = json.NewEncoder(w).Encode(answer)
}

// drive runs a small workload against the entry instance.
func drive(e *entry) (*load.Result, []audit.CallerRecord) {
	e.specs = map[model.RequestID]model.Spec{}
	server := httptest.NewServer(e)
	DeferCleanup(server.Close)
	file := filepath.Join(GinkgoT().TempDir(), "workload.ini")
	Expect(os.WriteFile(file, []byte("[stream.screens]\nclass = screen\nrate = 200\nmax_tasks = 3\nmin_run = 1ms\n"), 0o600)).To(Succeed())
	workload, err := load.Read(file)
	Expect(err).NotTo(HaveOccurred())
	var records, out bytes.Buffer
	outcome, err := load.Run(context.Background(), load.Options{
		Workload: workload, Gates: []string{server.URL}, Keys: &load.Keys{}, Duration: 500 * time.Millisecond,
		AnswerTimeout: 30 * time.Second, Callers: 8, Seed: 1, Run: "r", DuplicateProbability: 0.5, Records: &records, Out: &out,
	})
	Expect(err).NotTo(HaveOccurred())
	read, err := audit.ReadCallers(&records)
	Expect(err).NotTo(HaveOccurred())
	return outcome, read
}

var _ = Describe("Run", func() {
	It("completes every request despite lost replies", func() {
		outcome, records := drive(&entry{dropEvery: 5, corrupt: func(*model.Answer) {}})
		Expect(outcome.Wrong).To(BeZero(), "%v", outcome.Problems)
		Expect(outcome.LostCalls).To(BeNumerically(">", 0))
		Expect(outcome.Classes).To(HaveLen(1))
		Expect(outcome.Classes[0].Sent).To(Equal(len(records)))
		Expect(outcome.Classes[0].OK).To(Equal(len(records)))
		Expect(len(records)).To(BeNumerically(">", 20))
		plot := filepath.Join(GinkgoT().TempDir(), "waiting.svg")
		Expect(outcome.Plot(plot)).To(Succeed())
		Expect(os.ReadFile(plot)).To(ContainSubstring("screen"))
	})

	It("counts incomplete answers", func() {
		outcome, records := drive(&entry{corrupt: func(a *model.Answer) { a.Parts = a.Parts[1:] }})
		Expect(outcome.Wrong).To(BeNumerically(">=", len(records)))
		Expect(outcome.Problems).NotTo(BeEmpty())
	})
})
