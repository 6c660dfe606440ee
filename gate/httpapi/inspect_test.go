package httpapi_test

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

// get requests the path with the secret and decodes the body into a T.
func get[T any](f *fixture, path, secret string) (status int, value T) {
	request, err := http.NewRequest(http.MethodGet, f.url+path, nil)
	Expect(err).NotTo(HaveOccurred())
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(&value)).To(Succeed())
	return response.StatusCode, value
}

var _ = Describe("Inspecting", func() {
	var f *fixture

	BeforeEach(func() {
		settings := gate.DefaultSettings()
		settings.CallTimeout = 200 * time.Millisecond
		f = newFixture(settings, httpapi.DefaultLimits())
	})

	It("explains a request to its team, and to operators without a team", func() {
		id := string(f.submit("lot-20").ID)
		_, report := get[gate.RequestReport](f, "/v1/requests/"+id+"/explain", northSecret)
		Expect(report.Explanation).To(Equal(&peer.Explanation{State: "queued", Position: 3, Reason: "as north"}))
		_, report = get[gate.RequestReport](f, "/v1/requests/"+id+"/explain", operatorSecret)
		Expect(report.Explanation.Reason).To(Equal("as "))
	})

	It("reports the status of the shards that reply and an error code for the others", func() {
		code, status := get[gate.Status](f, "/v1/status", operatorSecret)
		Expect(code).To(Equal(http.StatusOK))
		Expect(status.ConfigVersion).To(Equal(model.ConfigVersion(1)))
		Expect(status.Shards).To(HaveLen(2))
		Expect(status.Shards[0].Status.Teams).To(HaveLen(2))
		Expect(status.Shards[1].Code).To(Equal(int(result.HomeUnreachable)))
		Expect(status.Shards[1].Status).To(BeNil())
	})

	It("shows a submitter only its own team, and nothing without a key", func() {
		_, status := get[gate.Status](f, "/v1/status", northSecret)
		Expect(status.Teams).To(Equal([]model.Team{{Name: "north"}}))
		Expect(status.Shards[0].Status.Teams).To(Equal([]peer.TeamStatus{{Team: "north"}}))
		code, _ := get[model.Answer](f, "/v1/status", "")
		Expect(code).To(Equal(http.StatusUnauthorized))
	})
})
