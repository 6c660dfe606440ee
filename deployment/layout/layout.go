// Package layout generates the files with which a deployment runs on the loopback
// interface of one machine: the settings of each process, new API keys and the
// initial configuration. It is used for the demo. It doesn't start the processes;
// a script does.
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

// Names of files and folders in the output folder.
const (
	// ConfigFile contains the initial configuration as JSON.
	ConfigFile = "config.json"
	// ProcessFile lists the processes, one per line: binary, settings file and
	// address of the admin interface, separated by spaces.
	ProcessFile = "processes"
	// GateFile lists the URLs of the entry instances, one per line.
	GateFile = "gates"
	// SecretFile contains the teams' secrets for the load tool.
	SecretFile = "secrets.ini"
	// KeyFolder contains one file per API key, with its secret.
	KeyFolder = "keys"
	// OperatorKey is the name of the operator's key file in KeyFolder.
	OperatorKey = "operator"
)

const (
	// folderMode and fileMode deny other users access to the keys.
	folderMode = 0o700
	fileMode   = 0o600
	// portsPerInstance is the number of ports that each entry instance uses.
	portsPerInstance = 5
)

// Options are the options of Write.
type Options struct {
	// DeploymentFile is the file from which the deployment was read.
	DeploymentFile string
	// Folder is the output folder. It is created if it doesn't exist.
	Folder string
	// BasePort is the first of the consecutive ports that the processes use.
	BasePort int
}

// layout is the state of one Write.
type layout struct {
	options    Options
	deployment *deployment.Deployment
	instances  []instance
	processes  []string
}

// instance is an entry instance with the addresses of its listeners.
type instance struct {
	deployment.EntryInstance
	gate, gateAdmin, sched, schedAdmin, gatePeers string
}

// Write writes the files for d to options.Folder. Existing files are overwritten.
func Write(d *deployment.Deployment, options Options) error {
	l := &layout{options: options, deployment: d}
	if err := os.MkdirAll(filepath.Join(options.Folder, KeyFolder), folderMode); err != nil {
		return eris.Wrap(err, "creating output folder")
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

// assignPorts assigns consecutive ports to each entry instance, starting after
// BasePort, which is the port of the platform stand-in.
func (l *layout) assignPorts() {
	for i, entry := range l.deployment.EntryInstances() {
		firstPort := l.options.BasePort + 1 + i*portsPerInstance
		l.instances = append(l.instances, instance{
			EntryInstance: entry,
			gate:          loopback(firstPort),
			gateAdmin:     loopback(firstPort + 1),
			sched:         loopback(firstPort + 2),
			schedAdmin:    loopback(firstPort + 3),
			gatePeers:     loopback(firstPort + 4),
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
		return eris.Wrap(err, "encoding initial configuration")
	}
	return l.write(ConfigFile, string(raw)+"\n")
}

// writeKeys generates one API key for each team and one for the operator, writes
// their secrets and returns the keys.
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

// addProcess adds a line to the list of processes.
func (l *layout) addProcess(binary, settingsFile, admin string) {
	file := filepath.Join(l.options.Folder, settingsFile)
	l.processes = append(l.processes, strings.Join([]string{binary, file, admin}, " "))
}

func (l *layout) write(name, content string) error {
	file := filepath.Join(l.options.Folder, name)
	return eris.Wrapf(os.WriteFile(file, []byte(content), fileMode), "writing %s", name)
}
