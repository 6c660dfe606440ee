package config

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// maxTotalShare is the largest sum of all teams' shares, in thousandths.
const maxTotalShare = 1000

// Check validates a complete configuration. It returns a *result.Error with code
// ChangeRejected that names the first invalid item and its value.
func Check(config *model.Config) error {
	checks := []func(*model.Config) error{checkClasses, checkTeams, checkKeys, checkDomains, checkRacks}
	for _, check := range checks {
		if err := check(config); err != nil {
			return err
		}
	}
	return nil
}

func rejected(format string, args ...any) error {
	return result.Errorf(result.ChangeRejected, format, args...)
}

func checkClasses(config *model.Config) error {
	seen := map[model.ClassName]bool{}
	for _, class := range config.Classes {
		switch {
		case class.Name == "":
			return rejected("a class has no name")
		case seen[class.Name]:
			return rejected("class %s is there twice", class.Name)
		case class.MaxWait <= 0:
			return rejected("class %s: the longest wait is %s, it must be above zero", class.Name, class.MaxWait)
		case class.Window < class.MaxWait:
			return rejected("class %s: the window of %s is shorter than the longest wait of %s", class.Name, class.Window, class.MaxWait)
		case !isTreatment(class.Shortage):
			return rejected("class %s: there is no treatment %q", class.Name, class.Shortage)
		case class.Shortage == model.Rerun && !class.Repeatable:
			return rejected("class %s: work that is not repeatable cannot be run again", class.Name)
		}
		seen[class.Name] = true
	}
	return nil
}

func isTreatment(t model.Treatment) bool {
	switch t {
	case model.Wait, model.Throttle, model.Checkpoint, model.Rerun, model.Refuse:
		return true
	}
	return false
}

func checkTeams(config *model.Config) error {
	seen := map[model.TeamName]bool{}
	total := int64(0)
	for _, team := range config.Teams {
		switch {
		case team.Name == "":
			return rejected("a team has no name")
		case seen[team.Name]:
			return rejected("team %s is there twice", team.Name)
		case team.Share < 0:
			return rejected("team %s: the share is %d, it must not be below zero", team.Name, team.Share)
		}
		for _, amount := range team.Limit {
			if amount < 0 {
				return rejected("team %s: a limit is %d, it must not be below zero", team.Name, amount)
			}
		}
		seen[team.Name] = true
		total += team.Share
	}
	if total > maxTotalShare {
		return rejected("the shares of all teams add up to %d thousandths, above %d", total, maxTotalShare)
	}
	return nil
}

func checkKeys(config *model.Config) error {
	seen := map[string]bool{}
	for _, key := range config.Keys {
		if key.ID == "" || seen[key.ID] {
			return rejected("the key id %q is empty or there twice", key.ID)
		}
		seen[key.ID] = true
		if err := checkRole(config, key); err != nil {
			return err
		}
	}
	return nil
}

func checkRole(config *model.Config, key model.Key) error {
	switch key.Role {
	case model.Submitter:
		if _, ok := config.Team(key.Team); !ok {
			return rejected("key %s: there is no team %q", key.ID, key.Team)
		}
	case model.Operator, model.Auditor:
		if key.Team != "" {
			return rejected("key %s: a key of role %s belongs to no team", key.ID, key.Role)
		}
	default:
		return rejected("key %s: there is no role %q", key.ID, key.Role)
	}
	return nil
}

func checkDomains(config *model.Config) error {
	seen := map[model.DomainName]bool{}
	for _, domain := range config.Domains {
		if domain.Name == "" || seen[domain.Name] {
			return rejected("the failure domain %q has no name or is there twice", domain.Name)
		}
		if domain.Shards < 1 {
			return rejected("failure domain %s: it has %d shards, it needs one at least", domain.Name, domain.Shards)
		}
		seen[domain.Name] = true
	}
	return nil
}

func checkRacks(config *model.Config) error {
	for _, rack := range config.RacksOut {
		if _, ok := config.Domain(rack.Domain); !ok {
			return rejected("rack %s: there is no failure domain %q", rack.Rack, rack.Domain)
		}
	}
	return nil
}
