package config

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// markReturns sets when the failure domains that next brings back came back:
// requests that were placed while they were out live elsewhere for a time.
func markReturns(before, next *model.Config, now time.Time) {
	for i := range next.Domains {
		domain := &next.Domains[i]
		former, known := before.Domain(domain.Name)
		if known && former.Out && !domain.Out {
			// The monotonic reading does not travel.
			domain.BackAt = now.Round(0)
		}
	}
}
