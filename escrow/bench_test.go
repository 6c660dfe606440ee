package escrow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/escrow"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/storage"
)

// BenchmarkRound measures one poll of the ledger by one of six shards while every
// team's demand changes, and the bytes of one write.
func BenchmarkRound(b *testing.B) {
	for _, teams := range []int{6, 18, 36, 71} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			now := clock.NewManual(time.Unix(1000, 0))
			rows := &table{rows: map[string]storage.Row{}}
			current := &model.Config{Version: 1}
			for i := range 6 {
				domain := model.DomainName(fmt.Sprintf("domain-%d", i))
				current.Domains = append(current.Domains, model.Domain{Name: domain, Shards: 1})
			}
			for i := range teams {
				name := model.TeamName(fmt.Sprintf("team-%02d", i))
				current.Teams = append(current.Teams, model.Team{Name: name, Limit: varied(int64(i), 900_000)})
			}
			parts := map[model.TeamName]model.Resources{}
			e := escrow.New(escrow.Options{
				Shard: model.ShardID{Domain: "domain-0"}, Epoch: storage.Check{Key: "epoch"},
				Table: rows, Clock: now, Config: func() *model.Config { return current },
				SetPart: func(team model.TeamName, part model.Resources) bool {
					parts[team] = part
					return true
				},
			})
			b.ResetTimer()
			for i := range b.N {
				now.Advance(escrow.PollPeriod)
				e.Step(demand(current, parts, int64(i)))
			}
			b.ReportMetric(float64(rows.bytes)/float64(max(rows.commits, 1)), "B/write")
			b.ReportMetric(float64(rows.commits)/float64(b.N), "writes/round")
		})
	}
}

// demand returns standings that differ by team, resource and round.
func demand(current *model.Config, parts map[model.TeamName]model.Resources, round int64) []policy.TeamUsage {
	var all []policy.TeamUsage
	for i, team := range current.Teams {
		standing := policy.TeamUsage{Team: team.Name, Part: parts[team.Name]}
		standing.Running = varied(round+int64(i), 90_000)
		standing.Queued = varied(round*31+int64(i), 400_000)
		all = append(all, standing)
	}
	return all
}

// varied returns varied amounts below most, so that they don't compress better
// than real ones.
func varied(seed, most int64) model.Resources {
	var amounts model.Resources
	for r := range amounts {
		amounts[r] = (seed*7919 + int64(r)*104729 + seed*seed*31) % most
	}
	return amounts
}
