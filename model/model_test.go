package model_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
)

var _ = Describe("RequestID", func() {
	It("encodes its home", func() {
		home := model.ShardID{Domain: "north-east", Number: 12}
		Expect(model.NewRequestID(home, 1<<63).Home()).To(Equal(home))
	})

	DescribeTable("rejects malformed ids",
		func(id model.RequestID) {
			_, err := id.Home()
			Expect(err).To(MatchError(model.ErrRequestID))
		},
		Entry("empty", model.RequestID("")),
		Entry("no domain", model.RequestID("1-abc-")),
		Entry("negative shard", model.RequestID("-1-abc-fd1")),
		Entry("no number", model.RequestID("x-abc-fd1")),
		Entry("a digest that is not a number", model.RequestID("1-a_c-fd1")),
	)
})

var _ = Describe("Resources", func() {
	It("fits when no amount exceeds the capacity", func() {
		capacity := model.Resources{1000, 10, 0, 1, 1}
		Expect(model.Resources{1000, 10, 0, 1, 1}.Fits(capacity)).To(BeTrue())
		Expect(model.Resources{1000, 10, 1, 1, 1}.Fits(capacity)).To(BeFalse())
	})

	It("has the largest fraction of any resource as its dominant share", func() {
		total := model.Resources{1000, 100, 0, 10, 10}
		Expect(model.Resources{100, 50, 0, 1, 1}.DominantShare(total)).To(Equal(0.5))
	})
})

func FuzzRequestID(f *testing.F) {
	f.Add("1-abc-fd1")
	f.Fuzz(func(t *testing.T, text string) {
		home, err := model.RequestID(text).Home()
		if err == nil && (home.Domain == "" || home.Number < 0) {
			t.Errorf("%q has home %v", text, home)
		}
	})
}
