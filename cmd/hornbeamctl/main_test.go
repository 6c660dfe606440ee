package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

// runCommand runs a command against an entry instance that replies with body, and
// returns its output, its exit code and the request received.
func runCommand(body any, arguments ...string) (out string, code int, received *http.Request) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r
		_ = json.NewEncoder(w).Encode(body)
	}))
	defer server.Close()
	var written bytes.Buffer
	err := newApp(&written).Run(append([]string{"hornbeamctl", "--gate", server.URL}, arguments...))
	if err != nil {
		code = exitCode(err)
	}
	return written.String(), code, received
}

func answer(code result.Code) model.Answer { return result.Answer("0-abc-fd1", code, "a reason") }

var _ = DescribeTable("The exit code reports the result of the request", func(reply result.Code, want int) {
	out, code, _ := runCommand(answer(reply), "submit", "--class", "screen", "--timeout", "30s", "--no-wait")
	Expect(code).To(Equal(want))
	Expect(out).To(ContainSubstring(reply.String()))
},
	Entry("done", result.OK, 0),
	Entry("accepted", result.Pending, 0),
	Entry("refused", result.QueueFull, exitNotRun),
	Entry("failed", result.TaskFailed, exitFailed),
	Entry("unknown", result.OutcomeUnknown, exitUnknown),
)

var _ = Describe("hornbeamctl", func() {
	It("sends the key from the key file and writes JSON", func() {
		file := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(file, []byte("s3cret\n"), 0o600)).To(Succeed())
		out, code, received := runCommand(answer(result.OK), "--key-file", file, "--output", "json", "wait", "0-abc-fd1")
		Expect(code).To(BeZero())
		Expect(received.Header.Get("Authorization")).To(Equal("Bearer s3cret"))
		var got model.Answer
		Expect(json.Unmarshal([]byte(out), &got)).To(Succeed())
		Expect(got).To(Equal(answer(result.OK)))
	})

	It("does not wait for an unknown request", func() {
		_, code, _ := runCommand(answer(result.UnknownRequest), "wait", "0-abc-fd1")
		Expect(code).To(Equal(exitUnknown))
	})

	It("reports a request that is still pending when the timeout ends", func() {
		_, code, _ := runCommand(answer(result.Pending), "wait", "--timeout", "200ms", "0-abc-fd1")
		Expect(code).To(Equal(exitPending))
	})

	It("shows the shards that respond and those that do not", func() {
		shard := model.ShardID{Domain: "fd1"}
		out, code, _ := runCommand(gate.Status{
			ConfigVersion: 7,
			Teams:         []model.Team{{Name: "north", Share: 300}},
			Domains:       []model.Domain{{Name: "fd1", Out: true}},
			Shards: []gate.ShardReport{
				{Shard: "fd1/0", Status: &peer.ShardStatus{
					Shard: shard, Holder: "sched-1", Endpoints: 16, Reachable: 15,
					Capacity: model.Resources{1000}, Committed: model.Resources{250},
					Teams: []peer.TeamStatus{{Team: "north", Running: model.Resources{250}}},
				}},
				{Shard: "fd2/0", Reason: "the shard's holder does not answer"},
			},
		}, "status")
		Expect(code).To(BeZero())
		Expect(out).To(MatchRegexp(`fd1/0 +out +sched-1 +0 +0 +15 of 16 +25%`))
		Expect(out).To(ContainSubstring("the shard's holder does not answer"))
		Expect(out).To(MatchRegexp(`north +300/1000 +0 +250 +0`))
	})

	It("shows the explanation of a waiting request", func() {
		out, _, _ := runCommand(gate.RequestReport{
			Answer: answer(result.Pending), Explanation: &peer.Explanation{State: "queued", Position: 4, Reason: "the team is at its limit"},
		}, "explain", "0-abc-fd1")
		Expect(out).To(ContainSubstring("position 4\nbecause  the team is at its limit"))
	})

	It("prints a chart in Graphviz format", func() {
		out, code, _ := runCommand(nil, "chart", "caller")
		Expect(code).To(BeZero())
		Expect(out).To(HavePrefix("digraph \"caller\""))
	})

	DescribeTable("rejects invalid arguments", func(arguments ...string) {
		_, code, received := runCommand(nil, arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(received).To(BeNil())
	},
		Entry("no class", "submit"),
		Entry("no request", "wait"),
		Entry("no such chart", "chart", "weather"),
		Entry("no such format", "--output", "xml", "status"),
		Entry("a key file that is missing", "--key-file", "/nowhere/key", "status"),
	)
})
