package chart_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/chart"
)

// lamp is the subject of the test charts.
type lamp struct {
	powered bool
	log     []string
}

const lampChart = `<scxml xmlns="http://www.w3.org/2005/07/scxml" name="lamp" initial="off">
  <state id="off">
    <onexit><send event="leave_off"/></onexit>
    <transition event="press" cond="powered" target="on"><send event="click"/></transition>
    <transition event="press dim"/>
    <transition event="smash" target="broken"/>
  </state>
  <state id="on" initial="bright">
    <onentry><send event="enter_on"/></onentry>
    <transition event="press" target="off"/>
    <transition event="smash" target="broken"/>
    <state id="bright"><transition event="dim" target="faint"/></state>
    <state id="faint"><transition event="dim" target="bright"/></state>
  </state>
  <final id="broken"/>
</scxml>`

func parse(text string) (*chart.Chart, error) {
	return chart.Parse("lamp.scxml", strings.NewReader(text))
}

func logTo(entry string) func(*lamp) {
	return func(l *lamp) { l.log = append(l.log, entry) }
}

func lampGuards() chart.Guards[lamp] {
	return chart.Guards[lamp]{"powered": func(l *lamp) bool { return l.powered }}
}

func lampActions() chart.Actions[lamp] {
	return chart.Actions[lamp]{
		"click":     logTo("click"),
		"enter_on":  logTo("enter_on"),
		"leave_off": logTo("leave_off"),
	}
}

func lampMachine() *chart.Machine[lamp] {
	c, err := parse(lampChart)
	Expect(err).NotTo(HaveOccurred())
	return chart.MustBind(c, lampGuards(), lampActions())
}

var _ = Describe("Machine", func() {
	It("takes guarded transitions and runs exit, transition and entry actions", func() {
		m, l := lampMachine(), &lamp{}
		var s chart.State
		m.Start(&s, l)
		press := m.MustEvent("press")
		Expect(m.Fire(&s, press, l)).To(BeFalse())
		l.powered = true
		Expect(m.Fire(&s, press, l)).To(BeTrue())
		Expect(m.Name(s)).To(Equal("bright"))
		Expect(l.log).To(Equal([]string{"leave_off", "click", "enter_on"}))
	})

	It("handles events in the outer state and doesn't leave it on inner transitions", func() {
		m, l := lampMachine(), &lamp{powered: true}
		var s chart.State
		m.Start(&s, l)
		m.Fire(&s, m.MustEvent("press"), l)
		m.Fire(&s, m.MustEvent("dim"), l)
		Expect(m.Name(s)).To(Equal("faint"))
		Expect(m.MustSet("on").Has(s)).To(BeTrue())
		Expect(l.log).To(HaveLen(3))
		m.Fire(&s, m.MustEvent("press"), l)
		Expect(m.Name(s)).To(Equal("off"))
	})

	It("ignores all events in a final state", func() {
		m, l := lampMachine(), &lamp{}
		s := m.MustState("broken")
		Expect(m.Final(s)).To(BeTrue())
		Expect(m.Fire(&s, m.MustEvent("press"), l)).To(BeFalse())
	})

	It("rejects names that only the chart or only the host has", func() {
		c, err := parse(lampChart)
		Expect(err).NotTo(HaveOccurred())
		_, err = chart.Bind(c, chart.Guards[lamp]{}, lampActions())
		Expect(err).To(MatchError(`chart lamp.scxml: state off: the guard "powered" is unknown`))
		actions := lampActions()
		actions["hum"] = logTo("hum")
		_, err = chart.Bind(c, lampGuards(), actions)
		Expect(err).To(MatchError(`chart lamp.scxml: the action "hum" is bound and never used`))
	})

	It("prints itself as Graphviz text", func() {
		c, err := parse(lampChart)
		Expect(err).NotTo(HaveOccurred())
		var out strings.Builder
		Expect(c.Dot(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring(`"off" -> "bright" [label="press [powered] / click"]`))
	})
})

var _ = DescribeTable("Parse rejects",
	func(old, changed, problem string) {
		text := strings.Replace(lampChart, old, changed, 1)
		Expect(text).NotTo(Equal(lampChart))
		_, err := parse(text)
		Expect(err).To(MatchError(ContainSubstring(problem)))
	},
	Entry("an event that is neither handled nor ignored",
		`event="press dim"/>`, `event="press"/>`, `state off: the event "dim" is neither handled nor ignored`),
	Entry("an event without a transition when all guards fail",
		`event="press dim"/>`, `event="dim"/>`, `state off: the event "press" is not handled when every guard fails`),
	Entry("a missing target",
		`target="faint"`, `target="dark"`, `state bright: the target "dark" does not exist`),
	Entry("an unreachable state",
		`<transition event="dim" target="faint"/>`, `<transition event="dim"/>`, `state faint: the state is unreachable`),
	Entry("a state that no transition leaves",
		`<final id="broken"/>`, `<state id="broken"><transition event="press dim smash"/></state>`, `state broken: no transition leaves the state`),
	Entry("an element outside the subset",
		`<onexit><send event="leave_off"/></onexit>`, `<history id="h"/>`, `state off: element <history> is not in the subset`),
	Entry("an id used twice",
		`id="faint"`, `id="bright"`, `state bright: the id is used twice`),
	Entry("an initial state that does not exist",
		`initial="off"`, `initial="dusk"`, `the initial state "dusk" does not exist`),
)

func BenchmarkFire(b *testing.B) {
	c, err := parse(lampChart)
	if err != nil {
		b.Fatal(err)
	}
	m := chart.MustBind(c, lampGuards(), chart.Actions[lamp]{
		"click": func(*lamp) {}, "enter_on": func(*lamp) {}, "leave_off": func(*lamp) {},
	})
	l := &lamp{powered: true}
	var s chart.State
	m.Start(&s, l)
	press := m.MustEvent("press")
	b.ReportAllocs()
	for b.Loop() {
		m.Fire(&s, press, l)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(lampChart)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := parse(text)
		if err == nil && len(c.StateNames()) == 0 {
			t.Error("a chart without states was accepted")
		}
	})
}
