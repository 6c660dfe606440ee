// Package charts embeds the state charts of the system. The decision code
// interprets these files and has no transition logic of its own beside them.
package charts

import (
	"bytes"
	"embed"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
)

// suffix is the file extension of charts.
const suffix = ".scxml"

//go:embed *.scxml
var files embed.FS

// Load returns the chart with the given name.
func Load(name string) (*chart.Chart, error) {
	raw, err := files.ReadFile(name + suffix)
	if err != nil {
		return nil, eris.Wrapf(err, "no chart %q", name)
	}
	return chart.Parse(name+suffix, bytes.NewReader(raw))
}

// MustLoad is Load for names that are constants in the code. It panics on an error,
// which the package's tests would expose for every chart.
func MustLoad(name string) *chart.Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of all charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), suffix))
	}
	sort.Strings(names)
	return names
}
