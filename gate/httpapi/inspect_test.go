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

// get reads the path with the secret into a value of type T.
func get[T any](f *front, path, secret string) (status int, value T) {
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
	var f *front

	BeforeEach(func() {
		settings := gate.DefaultSettings()
		settings.Try = 200 * time.Millisecond
		f = newFront(settings, httpapi.DefaultLimits())
	})

	It("explains a request to its team, and to operators as any team", func() {
		id := string(f.submit("lot-20").ID)
		_, account := get[gate.Account](f, "/v1/requests/"+id+"/explain", northSecret)
		Expect(account.Explanation).To(Equal(&peer.Explanation{State: "queued", Position: 3, Reason: "as north"}))
		_, account = get[gate.Account](f, "/v1/requests/"+id+"/explain", operatorSecret)
		Expect(account.Explanation.Reason).To(Equal("as "))
	})

	It("shows the shards that answer and names those that do not", func() {
		code, status := get[gate.Status](f, "/v1/status", operatorSecret)
		Expect(code).To(Equal(http.StatusOK))
		Expect(status.ConfigVersion).To(Equal(model.ConfigVersion(1)))
		Expect(status.Shards).To(HaveLen(2))
		Expect(status.Shards[0].Status.Teams).To(HaveLen(2))
		Expect(status.Shards[1].Code).To(Equal(int(result.HomeUnreachable)))
		Expect(status.Shards[1].Status).To(BeNil())
	})

	It("does not show a team its rivals, nor anything without a key", func() {
		_, status := get[gate.Status](f, "/v1/status", northSecret)
		Expect(status.Teams).To(Equal([]model.Team{{Name: "north"}}))
		Expect(status.Shards[0].Status.Teams).To(Equal([]peer.TeamStatus{{Team: "north"}}))
		code, _ := get[model.Answer](f, "/v1/status", "")
		Expect(code).To(Equal(http.StatusUnauthorized))
	})
})
