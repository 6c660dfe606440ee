package config

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// markReturnedDomains sets the time of return of the failure domains that next
// brings back into service. Requests that were placed while a domain was out of
// service remain in other domains for a limited time.
func markReturnedDomains(before, next *model.Config, now time.Time) {
	for i := range next.Domains {
		domain := &next.Domains[i]
		previous, existed := before.Domain(domain.Name)
		if existed && previous.Out && !domain.Out {
			// Round strips the monotonic clock reading, which is not encoded.
			domain.BackAt = now.Round(0)
		}
	}
}
