package httpapi_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// FuzzDecodeSpec checks that a body is either refused with a code whose Ran is
// NotRun, or decoded, and that a completed spec is unchanged by encoding and
// decoding.
func FuzzDecodeSpec(f *testing.F) {
	f.Add([]byte(validSpec))
	f.Add([]byte(`{"class":"screen","size":[1,2,3,4,5,6]}`))
	f.Add([]byte(`{"class":"screen","kind":"gang","tasks":9999}`))
	f.Add([]byte(`{}{}`))
	f.Add([]byte(`{"estimate_ns":1e400}`))
	config := testConfig(1)
	f.Fuzz(func(t *testing.T, raw []byte) {
		spec, problem := httpapi.DecodeSpec(bytes.NewReader(raw))
		if problem != nil {
			if result.Lookup(problem.Code).Ran != model.NotRun {
				t.Fatalf("the Ran of code %v is not NotRun", problem.Code)
			}
			return
		}
		complete, problem := gate.Complete(spec, config)
		if problem != nil {
			return
		}
		encoded, err := json.Marshal(complete)
		if err != nil {
			t.Fatal(err)
		}
		decoded, problem := httpapi.DecodeSpec(bytes.NewReader(encoded))
		if problem != nil || decoded != complete {
			t.Fatalf("%s was decoded as %+v: %v", encoded, decoded, problem)
		}
	})
}

// FuzzDecodeHeaders checks that the decoders either return a valid value or an
// error with a result code for any header, query and id.
func FuzzDecodeHeaders(f *testing.F) {
	f.Add("Bearer key", "10s", "0-abc-fd1", "lot-7")
	f.Add("Basic key", "-1s", "--", "lot 7")
	f.Add("Bearer ", "1e9h", "1-zz-", "\x00")
	f.Fuzz(func(t *testing.T, authorization, wait, id, key string) {
		secret, problem := httpapi.DecodeSecret(http.Header{"Authorization": {authorization}})
		if (secret == "") != (problem != nil) {
			t.Fatalf("secret %q with problem %v", secret, problem)
		}
		if d, problem := httpapi.DecodeWait(wait); problem == nil && d < 0 {
			t.Fatalf("wait %q is %s", wait, d)
		}
		if home, err := model.RequestID(id).Home(); err == nil && (home.Number < 0 || home.Domain == "") {
			t.Fatalf("id %q has home %v", id, home)
		}
		if gate.CheckKey(model.IdempotencyKey(key)) == nil && key == "" {
			t.Fatal("an empty idempotency key was accepted")
		}
	})
}
