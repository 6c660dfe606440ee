package holder

import "github.com/hornbeamworks/hornbeam/jobs"

// statesMessage asks the deciding duty for the states of jobs.
type statesMessage struct {
	ids   []jobs.ID
	reply chan map[jobs.ID]jobs.State
}

func (m statesMessage) apply(h *Holder) {
	if h.cell == nil || !actingStates.Has(h.state) {
		m.reply <- nil
		return
	}
	states := map[jobs.ID]jobs.State{}
	for _, id := range m.ids {
		if state := h.cell.planner.State(id); state != "" {
			states[id] = state
		}
	}
	m.reply <- states
}

// States returns the states of those of the jobs that the planner has; nil while the
// instance does not act as the holder.
func (h *Holder) States(ids []jobs.ID) map[jobs.ID]jobs.State {
	m := statesMessage{ids: ids, reply: make(chan map[jobs.ID]jobs.State, 1)}
	h.post(m)
	return <-m.reply
}
