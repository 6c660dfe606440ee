// Package layout writes the settings files of every process of a deployment on
// one machine's loopback, with fresh keys and the first configuration. The
// demo is laid out by it; a script starts the processes.
package layout

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/model"
)

// File names in the layout's folder.
const (
	// ConfigFile holds the first configuration as JSON.
	ConfigFile = "config.json"
	// ProcessFile lists the processes: binary, settings file and the address
	// of its pages, one process a line.
	ProcessFile = "processes"
	// GateFile lists the URLs of the entry instances, one a line.
	GateFile = "gates"
	// SecretFile holds the teams' secrets for the load tool.
	SecretFile = "secrets.ini"
	// KeyFolder holds one file for each key.
	KeyFolder = "keys"
	// OperatorKey is the name of the operator's key file.
	OperatorKey = "operator"
)

const (
	// folderMode and fileMode keep the keys from other users.
	folderMode = 0o700
	fileMode   = 0o600
	// portsPerInstance is the number of ports that an entry instance uses.
	portsPerInstance = 5
)

// Options say where the processes listen.
type Options struct {
	// DeploymentFile is the file that the deployment was read from.
	DeploymentFile string
	// Folder is the folder to write.
	Folder string
	// BasePort is the first of the ports in use.
	BasePort int
}

// layout is one layout as it is written.
type layout struct {
	options    Options
	deployment *deployment.Deployment
	instances  []instance
	processes  []string
}

// instance is an entry instance with its addresses.
type instance struct {
	deployment.EntryInstance
	gate, gateAdmin, sched, schedAdmin, gatePeers string
}

// Write writes the layout of d.
func Write(d *deployment.Deployment, options Options) error {
	l := &layout{options: options, deployment: d}
	if err := os.MkdirAll(filepath.Join(options.Folder, KeyFolder), folderMode); err != nil {
		return eris.Wrap(err, "layout folder")
	}
	l.assignPorts()
	writers := []func() error{l.writeConfig, l.writeStandin, l.writeInstances, l.writeGates, l.writeProcesses}
	for _, write := range writers {
		if err := write(); err != nil {
			return err
		}
	}
	return nil
}

// assignPorts gives every entry instance its ports.
func (l *layout) assignPorts() {
	for i, entry := range l.deployment.EntryInstances() {
		first := l.options.BasePort + 1 + i*portsPerInstance
		l.instances = append(l.instances, instance{
			EntryInstance: entry,
			gate:          loopback(first),
			gateAdmin:     loopback(first + 1),
			sched:         loopback(first + 2),
			schedAdmin:    loopback(first + 3),
			gatePeers:     loopback(first + 4),
		})
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (l *layout) platformURL() string { return "http://" + loopback(l.options.BasePort) }

func (l *layout) writeConfig() error {
	keys, err := l.writeKeys()
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(l.deployment.Config(keys), "", "  ")
	if err != nil {
		return eris.Wrap(err, "encoding the first configuration")
	}
	return l.write(ConfigFile, string(raw)+"\n")
}

// writeKeys makes a key for every team and one for the operator.
func (l *layout) writeKeys() ([]model.Key, error) {
	keys := []model.Key{{ID: OperatorKey, Role: model.Operator}}
	for _, team := range l.deployment.Teams {
		keys = append(keys, model.Key{ID: team.Name, Team: model.TeamName(team.Name), Role: model.Submitter})
	}
	var secrets []section
	for i := range keys {
		secret, hash := newSecret()
		keys[i].Hash = hash
		if err := l.write(filepath.Join(KeyFolder, keys[i].ID), secret+"\n"); err != nil {
			return nil, err
		}
		if team := keys[i].Team; team != "" {
			secrets = append(secrets, section{"team." + string(team), []pair{{"secret", secret}}})
		}
	}
	return keys, l.writeSettings(SecretFile, secrets)
}

func (l *layout) writeGates() error {
	var urls []string
	for _, i := range l.instances {
		urls = append(urls, "http://"+i.gate)
	}
	return l.write(GateFile, strings.Join(urls, "\n")+"\n")
}

func (l *layout) writeProcesses() error {
	return l.write(ProcessFile, strings.Join(l.processes, "\n")+"\n")
}

// addProcess notes a process for the process file.
func (l *layout) addProcess(binary, settingsFile, admin string) {
	file := filepath.Join(l.options.Folder, settingsFile)
	l.processes = append(l.processes, strings.Join([]string{binary, file, admin}, " "))
}

func (l *layout) write(name, content string) error {
	file := filepath.Join(l.options.Folder, name)
	return eris.Wrapf(os.WriteFile(file, []byte(content), fileMode), "writing %s", name)
}
