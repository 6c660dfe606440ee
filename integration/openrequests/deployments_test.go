package openrequests_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
	"github.com/hornbeamworks/hornbeam/standin"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

// node is a hornbeam-node process on a table of package platformtest.
type node struct {
	*daemon
	front, ready, peers, metrics string
	table                        *platformtest.Table
	jobs                         int
}

// queueHost and queueHeader lead to a queue of the stand-in's configuration, ordinaryJob
// is a job of one task.
const (
	queueHost   = "kitchen.example"
	ordinaryJob = `{"spec": "x", "steps": [{"count": 1, "cpu": 1000, "mem-mb": 100, "est-ms": 300}]}`
)

var queueHeader = http.Header{"Api-Key": {"key"}, "Content-Type": {"application/json"}}

func startNode(in instance, mode platformtest.FaultMode) *node {
	table, stop := platformtest.NewTable()
	DeferCleanup(stop)
	table.Put("op", "config", platformtest.Config(1))
	_, stopEndpoint := platformtest.NewEndpoint("i-00", &platformtest.Checker{}, table, 100*time.Millisecond)
	DeferCleanup(stopEndpoint)
	table.SetFaultMode(mode)
	advice, stopAdvice := platformtest.NewAdvice()
	DeferCleanup(stopAdvice)
	n := &node{front: harness.FreeAddress(), ready: harness.FreeAddress(), peers: harness.FreeAddress(), metrics: harness.FreeAddress(), table: table}
	text := fmt.Sprintf("[node]\nname = node0\ndomain = north\n\n[listen]\nfront = %s\nready = %s\npeers = %s\nmetrics = %s\n\n"+
		"[table]\naddress = %s\nacross = true\n\n[advice]\naddress = %s\n\n[cell]\nmax_lease = 10s\n\n[runtime]\ncpu_share = 1\nmemory = %d\n",
		n.front, n.ready, n.peers, n.metrics, table.Address, advice, in.memoryMiB)
	n.daemon = startDaemon(in, GinkgoT().TempDir(), "hornbeam-node", text)
	awaitListener(n.front)
	return n
}

// submit submits a job and returns the HTTP status; 0 if there is no answer.
func (n *node) submit() int {
	return call(http.MethodPost, "http://"+n.front+"/cook/000000000000000a", queueHost, queueHeader, ordinaryJob)
}

// readiness reads the readiness page and returns the HTTP status.
func (n *node) readiness() int {
	return call(http.MethodGet, "http://"+n.ready+"/v1/readyz", "", nil, "")
}

// completes submits a job of one task and waits until it has run.
func (n *node) completes() {
	GinkgoHelper()
	n.jobs++
	url := fmt.Sprintf("http://%s/cook/%016x", n.front, 1<<32+n.jobs)
	answered(func() int { return call(http.MethodPost, url, queueHost, queueHeader, ordinaryJob) }, http.StatusOK)
	Eventually(func() string {
		_, body := exchange(http.MethodGet, url, queueHost, queueHeader, "")
		return body
	}, waitTimeout, 100*time.Millisecond).Should(ContainSubstring("completed"))
}

// gate is a hornbeam-gate process with a scheduler and the stand-ins.
type gate struct {
	*daemon
	callers, operators, peers, admin string
	// scheme is that of the listeners for callers and operators.
	scheme string
	sched  *scheduler
}

// scheduler is a hornbeam-sched process.
type scheduler struct {
	*daemon
	peers, admin string
}

func startGate(in instance, secured bool) *gate {
	dir := GinkgoT().TempDir()
	platform := harness.FreeAddress()
	fleet := "[fleet]\nname = test\ndomains = fd1\nentry_instances = 2\n\n" +
		"[workers]\ncount = 2\nper_rack = 2\ncores = 16\nmemory_gb = 64\nslots = 8\nconnections = 64\n\n" +
		"[class.screen]\nmax_wait = 5s\nwindow = 40s\nshortage = wait\nrepeatable = true\n\n" +
		"[team.packer]\nshare = 500\nlimit_percent = 100\n"
	file := filepath.Join(dir, "deployment.ini")
	Expect(os.WriteFile(file, []byte(fleet), 0o600)).To(Succeed())
	startDaemon(entry, dir, "hornbeam-standin", fmt.Sprintf("[standin]\nlisten = %s\ndeployment = %s\n\n[domain.fd1]\nadvertise = %s\n", platform, file, platform), "serve")
	awaitListener(platform)
	described, err := deployment.Load(file)
	Expect(err).NotTo(HaveOccurred())
	keys := []model.Key{
		{ID: "operator", Role: model.Operator, Hash: harness.HashOf(operatorSecret)},
		{ID: "packer", Team: "packer", Role: model.Submitter, Hash: harness.HashOf(teamSecret)},
	}
	Expect(config.Initialise(context.Background(), httpstorage.NewTable("http://"+platform, http.DefaultClient), *described.Config(keys))).To(Succeed())
	runtime := fmt.Sprintf("\n[runtime]\nmemory = %d\n", in.memoryMiB)
	sched := &scheduler{peers: harness.FreeAddress(), admin: harness.FreeAddress()}
	sched.daemon = startDaemon(in, dir, "hornbeam-sched", fmt.Sprintf("[sched]\nlisten = %s\nadmin = %s\ndomain = fd1\n\n[platform]\ntable = http://%s\nobjects = http://%s\ninstances = http://%s\n",
		sched.peers, sched.admin, platform, platform, platform)+runtime)
	awaitListener(sched.peers)
	g := &gate{callers: harness.FreeAddress(), operators: harness.FreeAddress(), peers: harness.FreeAddress(), admin: harness.FreeAddress(), scheme: "http", sched: sched}
	text := fmt.Sprintf("[gate]\nlisten = %s\noperators = %s\nadmin = %s\n\n[peers]\nlisten = %s\ndomain = fd1\n\n"+
		"[platform]\ntable = http://%s\n\n[domain.fd1]\nschedulers = %s\n", g.callers, g.operators, g.admin, g.peers, platform, sched.peers) + runtime
	if secured {
		g.scheme = "https"
		files := harness.IssueCertificate(dir)
		text += fmt.Sprintf("\n[tls]\ncertificate = %s\nkey = %s\n", files.Certificate, files.Key)
	}
	g.daemon = startDaemon(in, dir, "hornbeam-gate", text)
	awaitListener(g.callers)
	return g
}

// submit submits a request and returns the HTTP status; 0 if there is no answer.
func (g *gate) submit() int {
	spec, err := json.Marshal(model.Spec{
		Class: "screen", Tasks: 1, Size: model.Resources{1000, 1024, 0, 1, 1}, Estimate: 100 * time.Millisecond,
		Payload: standin.Payload{RunMS: 100, Output: "ok ", Seed: 1}.Encode(),
	})
	Expect(err).NotTo(HaveOccurred())
	header := http.Header{"Authorization": {"Bearer " + teamSecret}, "Idempotency-Key": {"ordinary"}}
	return call(http.MethodPost, g.scheme+"://"+g.callers+"/v1/requests?wait=2s", "", header, string(spec))
}

// readiness reads the readiness page and returns the HTTP status.
func (g *gate) readiness() int { return call(http.MethodGet, "http://"+g.admin+"/readyz", "", nil, "") }

func (s *scheduler) readiness() int {
	return call(http.MethodGet, "http://"+s.admin+"/readyz", "", nil, "")
}

// show reads the configuration as an operator and returns the HTTP status; 0 if there is
// no answer.
func (g *gate) show() int {
	header := http.Header{"Authorization": {"Bearer " + operatorSecret}}
	return call(http.MethodGet, g.scheme+"://"+g.operators+"/v1/operate/config", "", header, "")
}
