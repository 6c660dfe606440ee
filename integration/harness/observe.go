package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

// holderPoll is the time between two reads of the lease row.
const holderPoll = 50 * time.Millisecond

// SetFault posts a fault to the stand-ins' admin interface: standin.TableFaults to
// "table", standin.ObjectFaults to "objects", standin.EndpointEvent to "endpoints".
func (c *Cluster) SetFault(target string, fault any) {
	raw, err := json.Marshal(fault)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.Post("http://"+c.standinAddress+standin.AdminPath+target, "application/json", bytes.NewReader(raw))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
}

// Records returns the records of the stand-ins.
func (c *Cluster) Records() []standin.Record {
	response, err := http.Get("http://" + c.standinAddress + standin.RecordsPath)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	records, err := audit.ReadRecords(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return records
}

// Stats returns the table's counters.
func (c *Cluster) Stats() standin.TableStats {
	response, err := http.Get("http://" + c.standinAddress + standin.StatsPath)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var stats standin.TableStats
	gomega.Expect(json.NewDecoder(response.Body).Decode(&stats)).To(gomega.Succeed())
	return stats
}

// Starts returns the records of all started attempts in order.
func (c *Cluster) Starts() []standin.Record {
	var found []standin.Record
	for _, r := range c.Records() {
		if r.Kind == standin.Started {
			found = append(found, r)
		}
	}
	return found
}

// Started returns the number of attempts started since the warm-up.
func (c *Cluster) Started() int { return len(c.Starts()) - c.warmUpStarts }

// StartsSince returns the number of starts after at in the first domain and in all
// others.
func (c *Cluster) StartsSince(at time.Time) (first, others int) {
	for _, r := range c.Starts() {
		if !r.Time.After(at) {
			continue
		}
		if string(r.Domain) == c.Domains[0].Name {
			first++
		} else {
			others++
		}
	}
	return first, others
}

// TimeToNextStart returns the time from at to the next start. The test fails when
// there is none.
func (c *Cluster) TimeToNextStart(at time.Time) time.Duration {
	for _, r := range c.Starts() {
		if r.Time.After(at) {
			return r.Time.Sub(at)
		}
	}
	ginkgo.Fail("no attempt was started after the given time")
	return 0
}

// Endpoint returns the id of an endpoint by the indices of its domain and within it.
func (c *Cluster) Endpoint(at, worker int) model.EndpointID {
	list := httpstorage.NewInstanceList("http://"+c.standinAddress, http.DefaultClient)
	infos, err := list.Endpoints(context.Background(), model.DomainName(c.Domains[at].Name))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return infos[worker].ID
}

// Holder returns the scheduler whose address is in the lease row of the domain's
// first shard; the last one that was read while the table is unavailable.
func (c *Cluster) Holder(at int) *Daemon {
	var found *Daemon
	gomega.Eventually(func() *Daemon {
		found = c.leaseHolder(c.Domains[at])
		return found
	}).WithTimeout(WaitTimeout).WithPolling(holderPoll).ShouldNot(gomega.BeNil())
	return found
}

func (c *Cluster) leaseHolder(d *Domain) *Daemon {
	row, err := c.Table().Get(context.Background(), "shard/"+d.Name+"/0/lease")
	if err != nil {
		return d.holder
	}
	for i, address := range d.schedAddresses {
		if strings.Contains(string(row.Value), address) {
			d.holder = d.Scheds[i]
		}
	}
	return d.holder
}

// Audit audits the run so far and fails the test on a violation.
func (c *Cluster) Audit(callers []audit.CallerRecord) {
	report := audit.Check(audit.Input{Records: c.Records(), Callers: callers, Options: audit.DefaultOptions()})
	var text bytes.Buffer
	gomega.Expect(report.Write(&text)).To(gomega.Succeed())
	ginkgo.GinkgoWriter.Print(text.String())
	gomega.Expect(report.Violations).To(gomega.BeEmpty(), text.String())
}
