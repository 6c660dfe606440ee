package httpapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// acceptingHolder is a fake holder that accepts every request immediately.
type acceptingHolder struct{}

func (acceptingHolder) Call(_ context.Context, _, _ string, _, reply any) error {
	reply.(*peer.Reply).Answer = model.Answer{Code: int(result.Pending)}
	return nil
}

// BenchmarkSubmit measures the gate's part of a submission: HTTP handler, key
// check, admission, placement and routing, without network and holder.
func BenchmarkSubmit(b *testing.B) {
	settings := gate.DefaultSettings()
	settings.TeamRate, settings.TeamBurst = 1e9, 1e9
	system := clock.System{}
	router := routing.NewRouter(routing.DefaultSettings(), system, routing.Addresses{"a": {"pa"}, "b": {"pb"}})
	admission := gate.NewAdmission(settings, system, &view{})
	group := duty.NewGroup(context.Background())
	group.Start(router, admission)
	admission.SetConfig(testConfig(1))
	g := gate.New(settings, system, admission, routing.NewCaller(router, acceptingHolder{}, system), logging.Discard())
	handler := httpapi.Handler(g, httpapi.DefaultLimits())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(validSpec))
			request.Header.Set("Authorization", "Bearer "+northSecret)
			request.Header.Set("Idempotency-Key", "lot-7")
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			if recorder.Code != http.StatusAccepted {
				b.Fatalf("status %d: %s", recorder.Code, recorder.Body)
			}
		}
	})
	admission.Stop()
	router.Stop()
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}
