package httpapi_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
)

// validSpec is the body of a small valid request.
const validSpec = `{"class":"screen","size":[1000,512,0,1,1],"estimate_ns":1000000,"payload":"lot 7"}`

// testRequest holds the parameters of an HTTP request. secret and key are left
// out of the header when empty.
type testRequest struct {
	method, path, secret, key, body string
}

// send sends the request and returns the HTTP status and the answer.
func (f *fixture) send(m testRequest) (int, model.Answer) {
	status, answer, err := f.trySend(context.Background(), m)
	Expect(err).NotTo(HaveOccurred())
	return status, answer
}

func (f *fixture) trySend(ctx context.Context, m testRequest) (int, model.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, m.method, f.url+m.path, strings.NewReader(m.body))
	if err != nil {
		return 0, model.Answer{}, err
	}
	if m.secret != "" {
		request.Header.Set("Authorization", "Bearer "+m.secret)
	}
	if m.key != "" {
		request.Header.Set("Idempotency-Key", m.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, model.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, model.Answer{}, err
	}
	var answer model.Answer
	return response.StatusCode, answer, json.Unmarshal(raw, &answer)
}

// submit submits a valid request of team north.
func (f *fixture) submit(key string) model.Answer {
	_, answer := f.send(testRequest{method: "POST", path: "/v1/requests", secret: northSecret, key: key, body: validSpec})
	return answer
}

// reply is the result of sendAsync.
type reply struct {
	status int
	answer model.Answer
	err    error
}

// sendAsync sends m on a goroutine of the test.
func (f *fixture) sendAsync(m testRequest) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		status, answer, err := f.trySend(context.Background(), m)
		replies <- reply{status: status, answer: answer, err: err}
	}()
	return replies
}

var _ = Describe("The HTTP interface", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture(gate.DefaultSettings(), httpapi.DefaultLimits()) })

	It("accepts a request, answers it when it is done, and recognizes a repeated submission", func() {
		answer := f.submit("lot-7")
		Expect(result.Code(answer.Code)).To(Equal(result.Pending))
		Expect(f.submit("lot-7").ID).To(Equal(answer.ID))
		waiting := f.sendAsync(testRequest{method: "GET", path: "/v1/requests/" + string(answer.ID) + "?wait=20s", secret: northSecret})
		f.holder.answerAll()
		var got reply
		Eventually(waiting).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.answer.Parts).To(Equal([]model.Part{{Output: "lot 7"}}))
		Expect(f.holder.requestIDs()).To(HaveLen(1))
	})

	It("forwards the spec with its defaults and the team of the key", func() {
		id := f.submit("lot-8").ID
		request := f.holder.request(id)
		Expect(request.Team).To(Equal(model.TeamName("north")))
		Expect(request.Spec.Kind).To(Equal(model.Batch))
		Expect(request.Spec.Tasks).To(Equal(1))
	})

	It("does not show a team's request to another team", func() {
		id := f.submit("lot-9").ID
		status, answer := f.send(testRequest{method: "GET", path: "/v1/requests/" + string(id), secret: southSecret})
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(answer.Ran).To(Equal(model.Unknown))
	})

	It("reports not run when the home was not reached and unknown when it did not reply", func() {
		settings := gate.DefaultSettings()
		settings.SubmitTimeout, settings.CallTimeout = 200*time.Millisecond, 100*time.Millisecond
		f = newFixture(settings, httpapi.DefaultLimits())
		f.holder.failSubmits(peerrpc.ErrNotSent)
		answer := f.submit("lot-10")
		Expect(result.Code(answer.Code)).To(Equal(result.HomeNotReached))
		Expect(answer.Ran).To(Equal(model.NotRun))
		f = newFixture(settings, httpapi.DefaultLimits())
		f.holder.failSubmits(peerrpc.ErrNoReply)
		answer = f.submit("lot-11")
		Expect(result.Code(answer.Code)).To(Equal(result.HomeUnreachable))
		Expect(answer.Ran).To(Equal(model.Unknown))
	})

	It("refuses work submitted with a key, but not open work and reads, while its view is stale", func() {
		id := f.submit("lot-12").ID
		f.view.stale.Store(true)
		Expect(result.Code(f.submit("lot-13").Code)).To(Equal(result.ConfigStale))
		_, open := f.send(testRequest{method: "POST", path: "/v1/requests", key: "o-1", body: `{"class":"public"}`})
		Expect(result.Code(open.Code)).To(Equal(result.Pending))
		status, _ := f.send(testRequest{method: "GET", path: "/v1/requests/" + string(id), secret: northSecret})
		Expect(status).To(Equal(http.StatusAccepted))
	})

	It("ends the waiting calls of a withdrawn key and no others", func() {
		id := f.submit("lot-14").ID
		_, other := f.send(testRequest{method: "POST", path: "/v1/requests", secret: southSecret, key: "s-1", body: validSpec})
		withdrawn := f.sendAsync(testRequest{method: "GET", path: "/v1/requests/" + string(id) + "?wait=25s", secret: northSecret})
		remaining := f.sendAsync(testRequest{method: "GET", path: "/v1/requests/" + string(other.ID) + "?wait=25s", secret: southSecret})
		Eventually(f.holder.awaitCalls).WithTimeout(waitTimeout).Should(BeNumerically(">", 1))
		next := testConfig(2)
		next.Keys = next.Keys[1:]
		Expect(f.admission.SetConfig(next)).To(BeTrue())
		var got reply
		Eventually(withdrawn).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusUnauthorized))
		Expect(got.answer.Ran).To(Equal(model.Unknown), "the accepted request is not affected")
		Expect(result.Code(f.submit("lot-15").Code)).To(Equal(result.BadKey))
		Expect(remaining).NotTo(Receive())
		f.holder.answerAll()
		Eventually(remaining).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
	})

	It("recognizes a repeated submission after its failure domain was taken out and brought back", func() {
		const keys = 20
		submitAll := func() []model.RequestID {
			var ids []model.RequestID
			for i := range keys {
				answer := f.submit(fmt.Sprintf("moved-%d", i))
				Expect(result.Code(answer.Code)).To(Equal(result.Pending))
				ids = append(ids, answer.ID)
			}
			return ids
		}
		out, back := testConfig(2), testConfig(3)
		out.Domains[0].Out = true
		back.Domains[0].BackAt = time.Now()
		Expect(f.admission.SetConfig(out)).To(BeTrue())
		during := submitAll()
		Expect(f.admission.SetConfig(back)).To(BeTrue())
		Expect(submitAll()).To(Equal(during))
		Expect(f.holder.requestIDs()).To(HaveLen(keys))
	})

	It("ignores an older configuration", func() {
		next := testConfig(2)
		next.Keys = next.Keys[1:]
		Expect(f.admission.SetConfig(next)).To(BeTrue())
		Expect(f.admission.SetConfig(testConfig(1))).To(BeTrue())
		Expect(result.Code(f.submit("lot-16").Code)).To(Equal(result.BadKey))
	})

	It("refuses a team with too many calls in flight and serves the others", func() {
		settings := gate.DefaultSettings()
		settings.MaxPerTeam = 1
		f = newFixture(settings, httpapi.DefaultLimits())
		id := f.submit("lot-17").ID
		waiting := f.sendAsync(testRequest{method: "GET", path: "/v1/requests/" + string(id) + "?wait=25s", secret: northSecret})
		Eventually(f.holder.awaitCalls).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		Eventually(func() result.Code { return result.Code(f.submit("lot-17").Code) }).WithTimeout(waitTimeout).Should(Equal(result.Busy))
		_, other := f.send(testRequest{method: "POST", path: "/v1/requests", secret: southSecret, key: "s-2", body: validSpec})
		Expect(result.Code(other.Code)).To(Equal(result.Pending))
		f.holder.answerAll()
		Eventually(waiting).WithTimeout(waitTimeout).Should(Receive())
	})

	It("refuses new calls while it drains and answers those that wait", func() {
		id := f.submit("lot-18").ID
		waiting := f.sendAsync(testRequest{method: "GET", path: "/v1/requests/" + string(id) + "?wait=25s", secret: northSecret})
		Eventually(f.holder.awaitCalls).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		drained := make(chan struct{})
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			f.server.Drain(ctx, func(ctx context.Context) { httpapi.Drain(ctx, f.gate, 0) })
			close(drained)
		}()
		Eventually(func() result.Code { return result.Code(f.submit("lot-19").Code) }).WithTimeout(waitTimeout).Should(Equal(result.Draining))
		Expect(drained).NotTo(BeClosed())
		f.holder.answerAll()
		var got reply
		Eventually(waiting).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
		Eventually(drained).WithTimeout(waitTimeout).Should(BeClosed())
	})
})

var _ = DescribeTable("An invalid request is refused with its result code and not forwarded",
	func(m testRequest, code result.Code, status int) {
		f := newFixture(gate.DefaultSettings(), httpapi.DefaultLimits())
		got, answer := f.send(m)
		Expect(result.Code(answer.Code)).To(Equal(code), answer.Reason)
		Expect(got).To(Equal(status))
		Expect(f.holder.requestIDs()).To(BeEmpty())
	},
	Entry("no key", testRequest{"POST", "/v1/requests", "", "k", validSpec}, result.BadKey, 401),
	Entry("a wrong key", testRequest{"POST", "/v1/requests", "guess", "k", validSpec}, result.BadKey, 401),
	Entry("an operator's key", testRequest{"POST", "/v1/requests", operatorSecret, "k", validSpec}, result.NotAllowed, 403),
	Entry("no idempotency key", testRequest{"POST", "/v1/requests", northSecret, "", validSpec}, result.Malformed, 400),
	Entry("a long idempotency key", testRequest{"POST", "/v1/requests", northSecret, strings.Repeat("k", 201), validSpec}, result.Malformed, 400),
	Entry("a body that is not JSON", testRequest{"POST", "/v1/requests", northSecret, "k", "lot 7"}, result.Malformed, 400),
	Entry("two objects", testRequest{"POST", "/v1/requests", northSecret, "k", validSpec + validSpec}, result.Malformed, 400),
	Entry("an unknown field", testRequest{"POST", "/v1/requests", northSecret, "k", `{"clas":"screen"}`}, result.Malformed, 400),
	Entry("an unknown class", testRequest{"POST", "/v1/requests", northSecret, "k", `{"class":"x"}`}, result.UnknownClass, 422),
	Entry("a negative size", testRequest{"POST", "/v1/requests", northSecret, "k", `{"class":"screen","size":[-1,0,0,0,0]}`}, result.Malformed, 400),
	Entry("too many tasks", testRequest{"POST", "/v1/requests", northSecret, "k", `{"class":"screen","tasks":10001}`}, result.Malformed, 400),
	Entry("a huge body", testRequest{"POST", "/v1/requests", northSecret, "k", `{"payload":"` + strings.Repeat("x", 300<<10) + `"}`}, result.TooLarge, 413),
	Entry("a large payload", testRequest{"POST", "/v1/requests", northSecret, "k", `{"payload":"` + strings.Repeat("x", 65<<10) + `"}`}, result.TooLarge, 413),
	Entry("a malformed wait", testRequest{"POST", "/v1/requests?wait=long", northSecret, "k", validSpec}, result.Malformed, 400),
	Entry("an unknown request", testRequest{"GET", "/v1/requests/0-abc-nowhere", northSecret, "", ""}, result.UnknownRequest, 404),
	Entry("a malformed id", testRequest{"DELETE", "/v1/requests/7", northSecret, "", ""}, result.UnknownRequest, 404),
)

var _ = Describe("Status", func() {
	It("is defined for every result code", func() {
		for _, entry := range result.Table {
			status := httpapi.Status(entry.Code)
			Expect(http.StatusText(status)).NotTo(BeEmpty(), fmt.Sprint(entry.Name))
			Expect(status == http.StatusOK).To(Equal(entry.Code == result.OK), entry.Name)
		}
	})
})
