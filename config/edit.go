package config

import (
	"fmt"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
)

// Edit is one operator's wish. It knows no version: it is applied to the newest
// configuration, as long as nobody changed the same item since the operator
// looked.
type Edit interface {
	// Item names what is edited, such as "team north". Edits of different items
	// do not conflict.
	Item() string
	// Summary says in one line what it does. It holds no secret and no hash.
	Summary() string
	// Apply changes config, which is a copy of the newest one. It returns a
	// *result.Error with code ChangeRejected when there is no such item.
	Apply(config *model.Config) error
}

// SetClass adds a class or replaces the one of its name.
type SetClass struct{ Class model.Class }

// Item names the class.
func (e SetClass) Item() string { return "class " + string(e.Class.Name) }

// Summary gives the class's target.
func (e SetClass) Summary() string {
	c := e.Class
	return fmt.Sprintf("set max_wait=%s window=%s shortage=%s repeatable=%t open=%t",
		c.MaxWait, c.Window, c.Shortage, c.Repeatable, c.Open)
}

// Apply sets the class.
func (e SetClass) Apply(config *model.Config) error {
	config.Classes = put(config.Classes, e.Class, func(c model.Class) bool { return c.Name == e.Class.Name })
	return nil
}

// DropClass removes a class.
type DropClass struct{ Name model.ClassName }

// Item names the class.
func (e DropClass) Item() string { return "class " + string(e.Name) }

// Summary says that the class is removed.
func (e DropClass) Summary() string { return "removed" }

// Apply removes the class.
func (e DropClass) Apply(config *model.Config) error {
	return drop(&config.Classes, e.Item(), func(c model.Class) bool { return c.Name == e.Name })
}

// SetTeam adds a team or replaces the one of its name.
type SetTeam struct{ Team model.Team }

// Item names the team.
func (e SetTeam) Item() string { return "team " + string(e.Team.Name) }

// Summary gives the team's share and limit.
func (e SetTeam) Summary() string {
	l := e.Team.Limit
	return fmt.Sprintf("set share=%d limit cpu=%dm memory=%dMiB accelerators=%d slots=%d connections=%d", e.Team.Share,
		l[model.CPU], l[model.Memory], l[model.Accelerators], l[model.Slots], l[model.Connections])
}

// Apply sets the team.
func (e SetTeam) Apply(config *model.Config) error {
	config.Teams = put(config.Teams, e.Team, func(t model.Team) bool { return t.Name == e.Team.Name })
	return nil
}

// DropTeam removes a team; its keys must have been withdrawn.
type DropTeam struct{ Name model.TeamName }

// Item names the team.
func (e DropTeam) Item() string { return "team " + string(e.Name) }

// Summary says that the team is removed.
func (e DropTeam) Summary() string { return "removed" }

// Apply removes the team.
func (e DropTeam) Apply(config *model.Config) error {
	return drop(&config.Teams, e.Item(), func(t model.Team) bool { return t.Name == e.Name })
}

// GrantKey adds a key. An id in use is refused.
type GrantKey struct{ Key model.Key }

// Item names the key.
func (e GrantKey) Item() string { return "key " + e.Key.ID }

// Summary gives the key's role and team.
func (e GrantKey) Summary() string {
	return fmt.Sprintf("granted role=%s team=%s", e.Key.Role, e.Key.Team)
}

// Apply adds the key.
func (e GrantKey) Apply(config *model.Config) error {
	config.Keys = append(config.Keys, e.Key)
	return nil
}

// WithdrawKey removes a key.
type WithdrawKey struct{ ID string }

// Item names the key.
func (e WithdrawKey) Item() string { return "key " + e.ID }

// Summary says that the key is withdrawn.
func (e WithdrawKey) Summary() string { return "withdrawn" }

// Apply removes the key.
func (e WithdrawKey) Apply(config *model.Config) error {
	return drop(&config.Keys, e.Item(), func(k model.Key) bool { return k.ID == e.ID })
}

// put replaces the element that matches, or appends value.
func put[E any](all []E, value E, matches func(E) bool) []E {
	if at := slices.IndexFunc(all, matches); at >= 0 {
		all[at] = value
		return all
	}
	return append(all, value)
}

// drop removes the elements that match, or rejects the edit of an item that is
// not there.
func drop[E any](all *[]E, item string, matches func(E) bool) error {
	if !slices.ContainsFunc(*all, matches) {
		return rejected("there is no %s", item)
	}
	*all = slices.DeleteFunc(*all, matches)
	return nil
}

// clone returns a copy that shares nothing with config.
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
