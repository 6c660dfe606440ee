package layout

import (
	"bytes"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/hornbeamworks/hornbeam/model"
)

// pair is a key of a settings file and its value.
type pair struct{ key, value string }

// section is one section of a settings file.
type section struct {
	name  string
	pairs []pair
}

func (l *layout) writeStandin() error {
	file, err := filepath.Abs(l.options.DeploymentFile)
	if err != nil {
		return eris.Wrap(err, "resolving path of deployment file")
	}
	address := loopback(l.options.BasePort)
	l.addProcess("hornbeam-standin", "standin.ini", address)
	return l.writeSettings("standin.ini", []section{
		{"standin", []pair{{"listen", address}, {"deployment", file}}},
		{"endpoints", []pair{{"latency", l.deployment.Fleet.DomainDelay.String()}}},
	})
}

func (l *layout) writeInstances() error {
	for _, i := range l.instances {
		if err := l.writeSched(i); err != nil {
			return err
		}
		if err := l.writeGate(i); err != nil {
			return err
		}
	}
	return nil
}

func (l *layout) writeSched(i instance) error {
	name := i.Name + "-sched.ini"
	l.addProcess("hornbeam-sched", name, i.schedAdmin)
	return l.writeSettings(name, []section{
		{"sched", []pair{
			{"listen", i.sched},
			{"admin", i.schedAdmin},
			{"domain", string(i.Domain)},
			{"shards", strconv.Itoa(l.deployment.Fleet.Shards)},
			{"peers", strings.Join(l.peersOf(i), ",")},
		}},
		{"platform", []pair{
			{"table", l.platformURL()},
			{"objects", l.platformURL()},
			{"instances", l.platformURL()},
		}},
	})
}

func (l *layout) writeGate(i instance) error {
	name := i.Name + "-gate.ini"
	l.addProcess("hornbeam-gate", name, i.gateAdmin)
	sections := []section{
		{"gate", []pair{{"listen", i.gate}, {"admin", i.gateAdmin}}},
		{"peers", []pair{{"listen", i.gatePeers}, {"domain", string(i.Domain)}}},
		{"platform", []pair{{"table", l.platformURL()}}},
	}
	for _, domain := range l.deployment.Fleet.Domains {
		schedulers := strings.Join(l.schedulersOf(model.DomainName(domain)), ",")
		sections = append(sections, section{"domain." + domain, []pair{{"schedulers", schedulers}}})
	}
	return l.writeSettings(name, sections)
}

func (l *layout) peersOf(self instance) []string {
	var all []string
	for _, i := range l.instances {
		if i.Name != self.Name {
			all = append(all, i.sched)
		}
	}
	return all
}

func (l *layout) schedulersOf(domain model.DomainName) []string {
	var all []string
	for _, i := range l.instances {
		if i.Domain == domain {
			all = append(all, i.sched)
		}
	}
	return all
}

func (l *layout) writeSettings(name string, sections []section) error {
	file := ini.Empty()
	for _, s := range sections {
		for _, p := range s.pairs {
			if _, err := file.Section(s.name).NewKey(p.key, p.value); err != nil {
				return eris.Wrapf(err, "encoding settings file %s", name)
			}
		}
	}
	var out bytes.Buffer
	if _, err := file.WriteTo(&out); err != nil {
		return eris.Wrapf(err, "encoding settings file %s", name)
	}
	return l.write(name, out.String())
}
