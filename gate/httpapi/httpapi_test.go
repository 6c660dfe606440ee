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

// screen is a small sound request.
const screen = `{"class":"screen","size":[1000,512,0,1,1],"estimate_ns":1000000,"payload":"lot 7"}`

// message is one HTTP request of a test.
type message struct {
	method, path, secret, key, body string
}

// send carries out the request and returns its status and answer.
func (f *front) send(m message) (int, model.Answer) {
	status, answer, err := f.try(context.Background(), m)
	Expect(err).NotTo(HaveOccurred())
	return status, answer
}

func (f *front) try(ctx context.Context, m message) (int, model.Answer, error) {
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

// submit hands in a sound request of team north.
func (f *front) submit(key string) model.Answer {
	_, answer := f.send(message{method: "POST", path: "/v1/requests", secret: northSecret, key: key, body: screen})
	return answer
}

// reply is what a request in the background came to.
type reply struct {
	status int
	answer model.Answer
	err    error
}

// background sends m on a goroutine of the test.
func (f *front) background(m message) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		status, answer, err := f.try(context.Background(), m)
		replies <- reply{status: status, answer: answer, err: err}
	}()
	return replies
}

var _ = Describe("The HTTP interface", func() {
	var f *front

	BeforeEach(func() { f = newFront(gate.DefaultSettings(), httpapi.DefaultLimits()) })

	It("accepts a request, answers it once it is done, and knows a repetition", func() {
		answer := f.submit("lot-7")
		Expect(result.Code(answer.Code)).To(Equal(result.Pending))
		Expect(f.submit("lot-7").ID).To(Equal(answer.ID))
		waiting := f.background(message{method: "GET", path: "/v1/requests/" + string(answer.ID) + "?wait=20s", secret: northSecret})
		f.holder.finish()
		var got reply
		Eventually(waiting).WithTimeout(generous).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.answer.Parts).To(Equal([]model.Part{{Output: "lot 7"}}))
		Expect(f.holder.known()).To(HaveLen(1))
	})

	It("hands over the spec with its defaults and the team of the key", func() {
		id := f.submit("lot-8").ID
		request := f.holder.request(id)
		Expect(request.Team).To(Equal(model.TeamName("north")))
		Expect(request.Spec.Kind).To(Equal(model.Batch))
		Expect(request.Spec.Tasks).To(Equal(1))
	})

	It("does not show a team's request to another team", func() {
		id := f.submit("lot-9").ID
		status, answer := f.send(message{method: "GET", path: "/v1/requests/" + string(id), secret: southSecret})
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(answer.Ran).To(Equal(model.Unknown))
	})

	It("says not run when the home was not reached and unknown when it did not reply", func() {
		settings := gate.DefaultSettings()
		settings.SubmitBudget, settings.Try = 200*time.Millisecond, 100*time.Millisecond
		f = newFront(settings, httpapi.DefaultLimits())
		f.holder.fail(peerrpc.ErrNotSent)
		answer := f.submit("lot-10")
		Expect(result.Code(answer.Code)).To(Equal(result.HomeNotReached))
		Expect(answer.Ran).To(Equal(model.NotRun))
		f = newFront(settings, httpapi.DefaultLimits())
		f.holder.fail(peerrpc.ErrNoReply)
		answer = f.submit("lot-11")
		Expect(result.Code(answer.Code)).To(Equal(result.HomeUnreachable))
		Expect(answer.Ran).To(Equal(model.Unknown))
	})

	It("refuses work by key, but not open work and reading, when its view is stale", func() {
		id := f.submit("lot-12").ID
		f.view.stale.Store(true)
		Expect(result.Code(f.submit("lot-13").Code)).To(Equal(result.ConfigStale))
		_, open := f.send(message{method: "POST", path: "/v1/requests", key: "o-1", body: `{"class":"public"}`})
		Expect(result.Code(open.Code)).To(Equal(result.Pending))
		status, _ := f.send(message{method: "GET", path: "/v1/requests/" + string(id), secret: northSecret})
		Expect(status).To(Equal(http.StatusAccepted))
	})

	It("ends the waiting requests of a withdrawn key and lets others wait on", func() {
		id := f.submit("lot-14").ID
		_, other := f.send(message{method: "POST", path: "/v1/requests", secret: southSecret, key: "s-1", body: screen})
		withdrawn := f.background(message{method: "GET", path: "/v1/requests/" + string(id) + "?wait=25s", secret: northSecret})
		staying := f.background(message{method: "GET", path: "/v1/requests/" + string(other.ID) + "?wait=25s", secret: southSecret})
		Eventually(f.holder.awaited).WithTimeout(generous).Should(BeNumerically(">", 1))
		next := testConfig(2)
		next.Keys = next.Keys[1:]
		Expect(f.admission.SetConfig(next)).To(BeTrue())
		var got reply
		Eventually(withdrawn).WithTimeout(generous).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusUnauthorized))
		Expect(got.answer.Ran).To(Equal(model.Unknown), "the request was accepted and goes on")
		Expect(result.Code(f.submit("lot-15").Code)).To(Equal(result.BadKey))
		Expect(staying).NotTo(Receive())
		f.holder.finish()
		Eventually(staying).WithTimeout(generous).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
	})

	It("knows a repetition although its failure domain was out in between", func() {
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
		Expect(f.holder.known()).To(HaveLen(keys))
	})

	It("never goes back to an older configuration", func() {
		next := testConfig(2)
		next.Keys = next.Keys[1:]
		Expect(f.admission.SetConfig(next)).To(BeTrue())
		Expect(f.admission.SetConfig(testConfig(1))).To(BeTrue())
		Expect(result.Code(f.submit("lot-16").Code)).To(Equal(result.BadKey))
	})

	It("refuses a team that has too much under way and serves the others", func() {
		settings := gate.DefaultSettings()
		settings.MaxPerTeam = 1
		f = newFront(settings, httpapi.DefaultLimits())
		id := f.submit("lot-17").ID
		waiting := f.background(message{method: "GET", path: "/v1/requests/" + string(id) + "?wait=25s", secret: northSecret})
		Eventually(f.holder.awaited).WithTimeout(generous).Should(BeNumerically(">", 0))
		Eventually(func() result.Code { return result.Code(f.submit("lot-17").Code) }).WithTimeout(generous).Should(Equal(result.Busy))
		_, other := f.send(message{method: "POST", path: "/v1/requests", secret: southSecret, key: "s-2", body: screen})
		Expect(result.Code(other.Code)).To(Equal(result.Pending))
		f.holder.finish()
		Eventually(waiting).WithTimeout(generous).Should(Receive())
	})

	It("drains: newcomers are refused, waiting callers get their answer", func() {
		id := f.submit("lot-18").ID
		waiting := f.background(message{method: "GET", path: "/v1/requests/" + string(id) + "?wait=25s", secret: northSecret})
		Eventually(f.holder.awaited).WithTimeout(generous).Should(BeNumerically(">", 0))
		drained := make(chan struct{})
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), generous)
			defer cancel()
			httpapi.Drain(ctx, f.gate, f.server, 0)
			close(drained)
		}()
		Eventually(func() result.Code { return result.Code(f.submit("lot-19").Code) }).WithTimeout(generous).Should(Equal(result.Draining))
		Expect(drained).NotTo(BeClosed())
		f.holder.finish()
		var got reply
		Eventually(waiting).WithTimeout(generous).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
		Eventually(drained).WithTimeout(generous).Should(BeClosed())
	})
})

var _ = DescribeTable("A request that is wrong gets a clear code and nothing is handed in",
	func(m message, code result.Code, status int) {
		f := newFront(gate.DefaultSettings(), httpapi.DefaultLimits())
		got, answer := f.send(m)
		Expect(result.Code(answer.Code)).To(Equal(code), answer.Reason)
		Expect(got).To(Equal(status))
		Expect(f.holder.known()).To(BeEmpty())
	},
	Entry("no key", message{"POST", "/v1/requests", "", "k", screen}, result.BadKey, 401),
	Entry("a wrong key", message{"POST", "/v1/requests", "guess", "k", screen}, result.BadKey, 401),
	Entry("an operator's key", message{"POST", "/v1/requests", operatorSecret, "k", screen}, result.NotAllowed, 403),
	Entry("no idempotency key", message{"POST", "/v1/requests", northSecret, "", screen}, result.Malformed, 400),
	Entry("a long idempotency key", message{"POST", "/v1/requests", northSecret, strings.Repeat("k", 201), screen}, result.Malformed, 400),
	Entry("no JSON", message{"POST", "/v1/requests", northSecret, "k", "lot 7"}, result.Malformed, 400),
	Entry("two objects", message{"POST", "/v1/requests", northSecret, "k", screen + screen}, result.Malformed, 400),
	Entry("an unknown field", message{"POST", "/v1/requests", northSecret, "k", `{"clas":"screen"}`}, result.Malformed, 400),
	Entry("an unknown class", message{"POST", "/v1/requests", northSecret, "k", `{"class":"x"}`}, result.UnknownClass, 422),
	Entry("a negative size", message{"POST", "/v1/requests", northSecret, "k", `{"class":"screen","size":[-1,0,0,0,0]}`}, result.Malformed, 400),
	Entry("too many tasks", message{"POST", "/v1/requests", northSecret, "k", `{"class":"screen","tasks":10001}`}, result.Malformed, 400),
	Entry("a huge body", message{"POST", "/v1/requests", northSecret, "k", `{"payload":"` + strings.Repeat("x", 300<<10) + `"}`}, result.TooLarge, 413),
	Entry("a large payload", message{"POST", "/v1/requests", northSecret, "k", `{"payload":"` + strings.Repeat("x", 65<<10) + `"}`}, result.TooLarge, 413),
	Entry("an endless wait", message{"POST", "/v1/requests?wait=long", northSecret, "k", screen}, result.Malformed, 400),
	Entry("an unknown request", message{"GET", "/v1/requests/0-abc-nowhere", northSecret, "", ""}, result.UnknownRequest, 404),
	Entry("an id of another shape", message{"DELETE", "/v1/requests/7", northSecret, "", ""}, result.UnknownRequest, 404),
)

var _ = Describe("Status", func() {
	It("is set for every result code", func() {
		for _, entry := range result.Table {
			status := httpapi.Status(entry.Code)
			Expect(http.StatusText(status)).NotTo(BeEmpty(), fmt.Sprint(entry.Name))
			Expect(status == http.StatusOK).To(Equal(entry.Code == result.OK), entry.Name)
		}
	})
})
