package holder

import (
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/model"
)

// SetCatalog sets the configuration in force. An older version than the current
// one is ignored.
func (h *Holder) SetCatalog(c *catalog.Catalog) { h.post(catalogMessage{c}) }

// SetEvacuated sets whether a failure domain is taken out.
func (h *Holder) SetEvacuated(domain model.DomainName, out bool) {
	h.post(evacuatedMessage{domain: domain, out: out})
}

// Confirmed sets when the last applied read of the operators' rows was requested.
func (h *Holder) Confirmed(requestedAt time.Time) { h.post(operatorsReadMessage{requestedAt}) }

type operatorsReadMessage struct{ requestedAt time.Time }

func (m operatorsReadMessage) apply(h *Holder) { h.operatorsReadAt = m.requestedAt }

type catalogMessage struct{ catalog *catalog.Catalog }

func (m catalogMessage) apply(h *Holder) {
	if h.catalog != nil && m.catalog.Version <= h.catalog.Version {
		return
	}
	h.catalog = m.catalog
	if h.cell != nil {
		h.cell.planner.SetCatalog(m.catalog)
	}
}

type evacuatedMessage struct {
	domain model.DomainName
	out    bool
}

func (m evacuatedMessage) apply(h *Holder) {
	if m.out {
		h.evacuated[m.domain] = true
	} else {
		delete(h.evacuated, m.domain)
	}
	if h.cell != nil {
		h.cell.planner.SetEvacuated(m.domain, m.out)
	}
}
