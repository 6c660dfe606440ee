package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/policy/quota"
)

var _ = Describe("Account", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("gives the team that uses less of its share the lower ratio", func() {
		var small, large quota.Account
		small.SetShare(0.1)
		large.SetShare(0.5)
		small.SetUsage(0.2)
		large.SetUsage(0.3)
		Expect(large.Ratio()).To(BeNumerically("<", small.Ratio()))
	})

	It("halves the past usage in one half-life", func() {
		var a quota.Account
		a.SetShare(1)
		a.SetUsage(1)
		a.Decay(start, time.Minute)
		a.Decay(start.Add(time.Hour), time.Minute)
		a.SetUsage(0)
		past := a.Ratio()
		a.Decay(start.Add(time.Hour+time.Minute), time.Minute)
		Expect(a.Ratio()).To(BeNumerically("~", past/2, 1e-6))
	})

	It("gives a team without a share a high ratio", func() {
		var a quota.Account
		a.SetUsage(0.5)
		Expect(a.Ratio()).To(BeNumerically(">", 100))
	})
})
