package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// adviceTimeout is allowed for a question beyond its cost.
	adviceTimeout = 800 * time.Millisecond
	// adviserPause keeps questions from an instance that has not answered.
	adviserPause = 1500 * time.Millisecond
)

// Adviser asks the advice service from an instance of the system.
type Adviser interface {
	// Ask returns the endpoints that may run the step, with their tickets. The
	// instance is named by its peer address; empty is this one.
	Ask(ctx context.Context, instance string, step jobs.StepID, endpoints []model.EndpointID) (map[model.EndpointID]string, error)
}

// consults spreads the questions over the instances, one each at a time.
type consults struct {
	questions []planner.Question
	advisers  map[string]*adviser
}

// adviser is an instance that asks; its duty waits for the answer.
type adviser struct {
	*duty.Duty[planner.Question]
	address string
	busy    bool
	// long says that the question under way is a long one.
	long bool
	// barred is until when it is not asked, since it has not answered.
	barred time.Time
}

func newConsults() *consults { return &consults{advisers: map[string]*adviser{}} }

func (c *consults) add(q planner.Question) { c.questions = append(c.questions, q) }

func (c *consults) waiting() int { return len(c.questions) }

// dispatch gives the waiting questions to idle instances, the most urgent first.
// While there are several instances, this one is kept for short questions.
func (c *consults) dispatch(h *Holder) {
	if len(c.questions) == 0 || !h.mayAct() {
		return
	}
	sort.SliceStable(c.questions, func(i, k int) bool {
		a, b := c.questions[i], c.questions[k]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Due.Before(b.Due)
	})
	var left []planner.Question
	for _, q := range c.questions {
		if a := c.idle(h.now, q.Cost <= planner.ShortQuestion); a == nil || !a.Offer(q) {
			left = append(left, q)
		} else {
			a.busy, a.long = true, q.Cost > planner.ShortQuestion
		}
	}
	c.questions = left
}

// idle returns an instance that can be asked now: this one first for a short
// question, last for a long one and only if there is no other. Of several others
// one is left for short questions, too.
func (c *consults) idle(now time.Time, short bool) *adviser {
	own := c.advisers[""]
	if short && own != nil && !own.busy {
		return own
	}
	others, idle, long := 0, (*adviser)(nil), 0
	for _, address := range c.addresses() {
		a := c.advisers[address]
		if address == "" || now.Before(a.barred) {
			continue
		}
		others++
		if !a.busy {
			idle = a
		} else if a.long {
			long++
		}
	}
	if !short && others > 2 && long >= others-1 {
		return nil
	}
	if others == 0 && own != nil && !own.busy {
		return own
	}
	return idle
}

func (c *consults) addresses() []string {
	list := make([]string, 0, len(c.advisers))
	for address := range c.advisers {
		list = append(list, address)
	}
	sort.Strings(list)
	return list
}

// setInstances takes the other instances.
func (c *consults) setInstances(h *Holder, others []instances.Instance) {
	c.ensure(h, "")
	listed := map[string]bool{"": true}
	for _, i := range others {
		listed[i.Address] = true
		c.ensure(h, i.Address)
	}
	for address, a := range c.advisers {
		if !listed[address] && !a.busy {
			a.Stop()
			delete(c.advisers, address)
		}
	}
	h.cell.planner.SetAdvisers(len(c.advisers))
}

func (c *consults) ensure(h *Holder, address string) {
	if c.advisers[address] != nil {
		return
	}
	current := h.cell
	a := &adviser{address: address}
	a.Duty = duty.NewCalling("adviser", 1, duty.HandlerFunc[planner.Question](func(batch []planner.Question) time.Duration {
		for _, q := range batch {
			h.consult(current, a, q)
		}
		return duty.Never
	}))
	c.advisers[address] = a
	current.start(h, a)
}

// consult asks one question on the adviser's thread.
func (h *Holder) consult(c *cell, a *adviser, q planner.Question) {
	ctx, cancel := context.WithTimeout(c.ctx, q.Cost+adviceTimeout)
	defer cancel()
	tickets, err := h.Advice.Ask(ctx, a.address, q.Step, q.Endpoints)
	h.tell(advisedMessage{epoch: c.epoch, adviser: a, question: q, tickets: tickets, answered: h.Clock.Now(), err: err})
}

// advisedMessage is the answer to a question.
type advisedMessage struct {
	epoch    uint64
	adviser  *adviser
	question planner.Question
	tickets  map[model.EndpointID]string
	answered time.Time
	err      error
}

func (m advisedMessage) apply(h *Holder) {
	c := h.cell
	if c == nil || c.epoch != m.epoch {
		return
	}
	m.adviser.busy = false
	if m.err != nil {
		counts.Add("advice_failed", 1)
		if m.adviser.address != "" {
			m.adviser.barred = h.now.Add(adviserPause)
		}
		h.Log.Warn("advice_failed", slog.String("id", string(m.question.Step.Job)), slog.String("step", m.question.Step.String()),
			slog.String("instance", m.adviser.address), slog.Any("error", m.err))
		c.planner.Advised(m.question, nil, m.answered)
		return
	}
	counts.Add("advice", 1)
	h.Log.Info("advice", slog.String("id", string(m.question.Step.Job)), slog.String("step", m.question.Step.String()),
		slog.Int("asked", len(m.question.Endpoints)), slog.Int("good", len(m.tickets)), slog.String("instance", m.adviser.address))
	if m.tickets == nil {
		m.tickets = map[model.EndpointID]string{}
	}
	c.planner.Advised(m.question, m.tickets, m.answered)
}

// SetInstances takes the other instances.
func (h *Holder) SetInstances(others []instances.Instance) { h.tell(instancesMessage{others}) }

type instancesMessage struct{ others []instances.Instance }

func (m instancesMessage) apply(h *Holder) {
	if actingStates.Has(h.state) {
		h.cell.consults.setInstances(h, m.others)
		h.cell.commands.setInstances(m.others)
	}
}

func decode(row storage.Row, into any) error {
	return eris.Wrapf(json.Unmarshal(row.Value, into), "decoding the row %s", row.Key)
}
