package harness

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

func (c *Cluster) startStandin() {
	file := filepath.Join(c.dir, "deployment.ini")
	gomega.Expect(os.WriteFile(file, []byte(c.deployment()), 0o600)).To(gomega.Succeed())
	text := section("standin", "listen = "+c.standinAddress, "deployment = "+file) +
		section("endpoints", "list_lag = 500ms", "usage_lag = 500ms")
	for _, d := range c.Domains {
		text += section("domain."+d.Name, "advertise = "+d.Endpoints.Address())
	}
	c.startDaemon("standin", "hornbeam-standin", "", text, "serve")
	gomega.Eventually(c.standinServes).WithTimeout(WaitTimeout).Should(gomega.Succeed())
}

func (c *Cluster) standinServes() error {
	response, err := http.Get("http://" + c.standinAddress + standin.StatsPath)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// deployment returns the description of the fleet, the classes and the teams.
func (c *Cluster) deployment() string {
	var names []string
	for _, d := range c.Domains {
		names = append(names, d.Name)
	}
	return section("fleet", "name = test", "domains = "+strings.Join(names, ", "), "entry_instances = 2") +
		section("workers", fmt.Sprintf("count = %d", c.shape.Workers*c.shape.Domains), "per_rack = 2",
			"cores = 16", "memory_gb = 64", "slots = 8", "connections = 64") +
		section("class."+Screen, "max_wait = 5s", "window = 40s", "shortage = wait", "repeatable = true") +
		section("class."+Settlement, "max_wait = 5s", "window = 40s", "shortage = wait", "repeatable = false") +
		section("class."+OpenClass, "max_wait = 5s", "window = 40s", "shortage = wait", "repeatable = true", "open = true") +
		section("team."+DefaultTeam, "share = 500", "limit_percent = 100") +
		section("team."+OtherTeam, "share = 400", "limit_percent = 25") +
		section("team."+Keyless, "share = 100", "limit_percent = 50")
}

// initialise writes the initial configuration to the table.
func (c *Cluster) initialise() {
	d, err := deployment.Load(filepath.Join(c.dir, "deployment.ini"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	keys := []model.Key{{ID: OperatorKey, Role: model.Operator, Hash: HashOf(secret(OperatorKey))}}
	for _, team := range []string{DefaultTeam, OtherTeam} {
		keys = append(keys, model.Key{
			ID: KeyOf(team), Team: model.TeamName(team), Role: model.Submitter, Hash: HashOf(secret(team)),
		})
	}
	gomega.Expect(config.Initialise(context.Background(), c.Table(), *d.Config(keys))).To(gomega.Succeed())
}

// Table returns a client of the platform's table that bypasses all proxies.
func (c *Cluster) Table() *httpstorage.Table {
	return httpstorage.NewTable("http://"+c.standinAddress, http.DefaultClient)
}

// secret returns the secret of the team's or the operator's key.
func secret(team string) string { return "secret-of-" + team }

func (c *Cluster) startDomain(at int) {
	for i := range c.shape.Scheds {
		c.startSched(at, i)
	}
	for i := range c.shape.Gates {
		c.startGate(at, i)
	}
}

func (c *Cluster) startSched(at, i int) {
	d := c.Domains[at]
	admin := FreeAddress()
	peers := append([]string{}, d.schedAddresses...)
	for to := range c.Domains {
		if to != at {
			peers = append(peers, c.schedulers(at, to))
		}
	}
	base := "http://" + d.Platform.Address()
	text := section("sched", "listen = "+d.schedAddresses[i], "admin = "+admin, "domain = "+d.Name,
		"peers = "+strings.Join(peers, ", ")) +
		section("platform", "table = "+base, "objects = "+base, "instances = "+base)
	name := fmt.Sprintf("sched-%s-%d", d.Name, i)
	d.Scheds = append(d.Scheds, c.startDaemon(name, "hornbeam-sched", admin, text))
}

func (c *Cluster) startGate(at, i int) {
	d := c.Domains[at]
	address, admin := FreeAddress(), FreeAddress()
	text := section("gate", "listen = "+address, "admin = "+admin, "drain_linger = 200ms") +
		section("platform", "table = http://"+d.Platform.Address()) +
		section("limits", "team_rate = 10000", "team_burst = 10000")
	for to, other := range c.Domains {
		text += section("domain."+other.Name, "schedulers = "+c.schedulers(at, to))
	}
	name := fmt.Sprintf("gate-%s-%d", d.Name, i)
	d.Gates = append(d.Gates, c.startDaemon(name, "hornbeam-gate", admin, text))
	d.gateAddresses = append(d.gateAddresses, address)
}
