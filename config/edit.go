package config

import (
	"fmt"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
)

// Edit is a modification of one item of the configuration. It carries no
// version: it is applied to the newest configuration, provided that the item has
// not changed since the base version of the Change.
type Edit interface {
	// Item identifies what is edited, such as "team north". Edits of different
	// items do not conflict.
	Item() string
	// Summary describes the edit in one line. It contains no secret and no hash.
	Summary() string
	// Apply modifies config, a copy of the newest configuration. It returns a
	// *result.Error with code ChangeRejected when the item does not exist.
	Apply(config *model.Config) error
}

// SetClass adds a class or replaces the class with the same name.
type SetClass struct{ Class model.Class }

func (e SetClass) Item() string { return "class " + string(e.Class.Name) }

// Summary lists the class's settings.
func (e SetClass) Summary() string {
	c := e.Class
	return fmt.Sprintf("set max_wait=%s window=%s shortage=%s repeatable=%t open=%t",
		c.MaxWait, c.Window, c.Shortage, c.Repeatable, c.Open)
}

func (e SetClass) Apply(config *model.Config) error {
	config.Classes = upsert(config.Classes, e.Class, func(c model.Class) bool { return c.Name == e.Class.Name })
	return nil
}

// DropClass removes a class.
type DropClass struct{ Name model.ClassName }

func (e DropClass) Item() string { return "class " + string(e.Name) }

func (e DropClass) Summary() string { return "removed" }

func (e DropClass) Apply(config *model.Config) error {
	return remove(&config.Classes, e.Item(), func(c model.Class) bool { return c.Name == e.Name })
}

// SetTeam adds a team or replaces the team with the same name.
type SetTeam struct{ Team model.Team }

func (e SetTeam) Item() string { return "team " + string(e.Team.Name) }

// Summary lists the team's share and limits.
func (e SetTeam) Summary() string {
	l := e.Team.Limit
	return fmt.Sprintf("set share=%d limit cpu=%dm memory=%dMiB accelerators=%d slots=%d connections=%d", e.Team.Share,
		l[model.CPU], l[model.Memory], l[model.Accelerators], l[model.Slots], l[model.Connections])
}

func (e SetTeam) Apply(config *model.Config) error {
	config.Teams = upsert(config.Teams, e.Team, func(t model.Team) bool { return t.Name == e.Team.Name })
	return nil
}

// DropTeam removes a team. Check rejects the change while the team has keys.
type DropTeam struct{ Name model.TeamName }

func (e DropTeam) Item() string { return "team " + string(e.Name) }

func (e DropTeam) Summary() string { return "removed" }

func (e DropTeam) Apply(config *model.Config) error {
	return remove(&config.Teams, e.Item(), func(t model.Team) bool { return t.Name == e.Name })
}

// GrantKey adds a key. Check rejects an id that is already in use.
type GrantKey struct{ Key model.Key }

func (e GrantKey) Item() string { return "key " + e.Key.ID }

// Summary lists the key's role and team.
func (e GrantKey) Summary() string {
	return fmt.Sprintf("granted role=%s team=%s", e.Key.Role, e.Key.Team)
}

func (e GrantKey) Apply(config *model.Config) error {
	config.Keys = append(config.Keys, e.Key)
	return nil
}

// WithdrawKey revokes a key by removing it from the configuration.
type WithdrawKey struct{ ID string }

func (e WithdrawKey) Item() string { return "key " + e.ID }

func (e WithdrawKey) Summary() string { return "withdrawn" }

func (e WithdrawKey) Apply(config *model.Config) error {
	return remove(&config.Keys, e.Item(), func(k model.Key) bool { return k.ID == e.ID })
}

// upsert replaces the first matching element by value, or appends value.
func upsert[E any](all []E, value E, matches func(E) bool) []E {
	if at := slices.IndexFunc(all, matches); at >= 0 {
		all[at] = value
		return all
	}
	return append(all, value)
}

// remove deletes the matching elements. It rejects the edit when none matches.
func remove[E any](all *[]E, item string, matches func(E) bool) error {
	if !slices.ContainsFunc(*all, matches) {
		return rejected("there is no %s", item)
	}
	*all = slices.DeleteFunc(*all, matches)
	return nil
}

// clone returns a copy whose slices are separate from those of config.
func clone(config *model.Config) *model.Config {
	copied := *config
	copied.Classes = slices.Clone(config.Classes)
	copied.Teams = slices.Clone(config.Teams)
	copied.Keys = slices.Clone(config.Keys)
	copied.Domains = slices.Clone(config.Domains)
	copied.EndpointsOut = slices.Clone(config.EndpointsOut)
	copied.RacksOut = slices.Clone(config.RacksOut)
	return &copied
}
