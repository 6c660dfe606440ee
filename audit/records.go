package audit

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// configKey is the row of the table that holds the configuration in force.
const configKey = "config/head"

// ReadRecords reads stand-ins' records, one line of JSON each.
func ReadRecords(r io.Reader) ([]standin.Record, error) {
	return readLines[standin.Record](r, "stand-in's record")
}

// sortedByTime returns the records sorted by time. Of records with the same
// time, ends come first, since the stand-ins end attempts that are due before
// they start new ones.
func sortedByTime(records []standin.Record) []standin.Record {
	ordered := slices.Clone(records)
	slices.SortStableFunc(ordered, func(a, b standin.Record) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return cmp.Compare(sortRank(a), sortRank(b))
	})
	return ordered
}

func sortRank(r standin.Record) int {
	if r.Kind == standin.Ended {
		return 0
	}
	return 1
}

// recordedConfigs returns the configurations that the table recorded.
func recordedConfigs(records []standin.Record) []ConfigChange {
	var changes []ConfigChange
	for _, r := range records {
		if r.Kind != standin.Written || r.Key != configKey {
			continue
		}
		config := &model.Config{}
		if json.Unmarshal(r.Value, config) == nil {
			changes = append(changes, ConfigChange{Time: r.Time, Config: config})
		}
	}
	return changes
}
