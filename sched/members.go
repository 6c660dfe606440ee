package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/routing"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// proposeMembers puts a change of the shard's endpoints on record. Work starts
// only at endpoints on record; one is taken off only when it is off the
// instance list and nothing can run there.
func (s *Shard) proposeMembers() {
	if s.proposed != nil {
		return
	}
	desired := []model.EndpointInfo{}
	for id, se := range s.sessions {
		if !se.onList && s.listKnown && s.sessionChart.dead.Has(se.state) && len(se.attempts) == 0 {
			se.fire(s.sessionChart.removed)
			delete(s.sessions, id)
			continue
		}
		if s.isMember(id) || se.fenced {
			desired = append(desired, se.recorded())
		}
	}
	slices.SortFunc(desired, func(a, b model.EndpointInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if slices.Equal(ids(desired), ids(s.members)) {
		return
	}
	s.proposed = desired
	s.proof.SetMembers(ids(s.members), ids(desired))
	s.append(shardjournal.Entry{Members: &shardjournal.Members{Endpoints: desired}}, membersDurable{})
}

// recorded is what the record says of the endpoint.
func (se *session) recorded() model.EndpointInfo {
	info := se.info
	info.Leaving = false
	return info
}

func (s *Shard) isMember(id model.EndpointID) bool {
	return slices.ContainsFunc(s.members, func(m model.EndpointInfo) bool { return m.ID == id })
}

func (m listed) deliver(s *Shard) {
	s.listed = m.endpoints
	s.listKnown = true
	if s.holding() && !s.chart.replaying.Has(s.state) {
		s.takeList()
	}
}

// takeList brings the sessions up to the instance list.
func (s *Shard) takeList() {
	for _, se := range s.sessions {
		se.onList = false
	}
	for _, info := range s.listed {
		se := s.sessions[info.ID]
		if se == nil {
			se = s.newSession(info)
		}
		se.onList = true
		se.update(info)
	}
	for _, se := range s.sessions {
		se.noteAbsence()
	}
	s.policy.SetFleet(s.fleetKnown())
}

// setPace divides the system's budget of journal rows among its shards.
func (s *Shard) setPace() {
	shards := 0
	for _, domain := range s.config.Domains {
		shards += domain.Shards
	}
	if budget := s.settings.JournalBudget; budget > 0 && shards > 0 {
		s.ports.Journal(shardjournal.Pace(time.Second * time.Duration(shards) / time.Duration(budget)))
	}
}

func (m fleet) deliver(s *Shard) {
	s.fleet = m.endpoints
	if s.holding() {
		s.policy.SetFleet(s.fleet)
	}
}

func (m configured) deliver(s *Shard) {
	if s.config != nil && m.config.Version <= s.config.Version {
		return
	}
	s.config = m.config
	s.homes = routing.NewHomes(m.config.Domains)
	s.setPace()
	if s.holding() {
		s.policy.SetConfig(s.now, s.config)
		s.dirty = true
	}
	if m.applied != nil {
		m.applied(m.config.Version)
	}
}
