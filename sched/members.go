package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/routing"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// proposeMembers appends a change of the shard's members to the journal. Work
// starts only at endpoints that are durable members. A member is removed only
// when it is off the instance list and nothing can run there.
func (s *Shard) proposeMembers() {
	if s.proposed != nil {
		return
	}
	desired := []model.EndpointInfo{}
	for id, se := range s.sessions {
		if !se.listed && s.listReceived && s.sessionChart.noAttempts.Has(se.state) && len(se.attempts) == 0 {
			se.fire(s.sessionChart.removed)
			delete(s.sessions, id)
			continue
		}
		if s.isMember(id) || se.fenced {
			desired = append(desired, se.memberInfo())
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

// memberInfo returns the endpoint as it is stored in the journal's list of
// members.
func (se *session) memberInfo() model.EndpointInfo {
	info := se.info
	info.Leaving = false
	return info
}

func (s *Shard) isMember(id model.EndpointID) bool {
	return slices.ContainsFunc(s.members, func(m model.EndpointInfo) bool { return m.ID == id })
}

func (m domainListed) deliver(s *Shard) {
	s.domainList = m.endpoints
	s.listReceived = true
	if s.holding() && !s.chart.replaying.Has(s.state) {
		s.applyInstanceList()
	}
}

// applyInstanceList creates and updates sessions from the instance list.
func (s *Shard) applyInstanceList() {
	for _, se := range s.sessions {
		se.listed = false
	}
	for _, info := range s.domainList {
		se := s.sessions[info.ID]
		if se == nil {
			se = s.newSession(info)
		}
		se.listed = true
		se.update(info)
	}
	for _, se := range s.sessions {
		se.updateAbsence()
	}
	s.policy.SetFleet(s.fleet())
}

// divideJournalBudget sets this shard's journal pace to its share of the
// system's budget of journal rows.
func (s *Shard) divideJournalBudget() {
	shards := 0
	for _, domain := range s.config.Domains {
		shards += domain.Shards
	}
	if budget := s.settings.JournalBudget; budget > 0 && shards > 0 {
		s.ports.Journal(shardjournal.SetRowInterval(time.Second * time.Duration(shards) / time.Duration(budget)))
	}
}

func (m fleetListed) deliver(s *Shard) {
	s.fleetList = m.endpoints
	if s.holding() {
		s.policy.SetFleet(s.fleetList)
	}
}

func (m configured) deliver(s *Shard) {
	if s.config != nil && m.config.Version <= s.config.Version {
		return
	}
	s.config = m.config
	s.homes = routing.NewHomes(m.config.Domains)
	s.divideJournalBudget()
	if s.holding() {
		s.policy.SetConfig(s.now, s.config)
		s.dirty = true
	}
	if m.applied != nil {
		m.applied(m.config.Version)
	}
}
