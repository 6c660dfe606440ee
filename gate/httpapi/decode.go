package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// bearer is the authentication scheme of keys.
const bearer = "Bearer "

// maxSecretBytes bounds a key's secret.
const maxSecretBytes = 512

// DecodeSpec reads the JSON of one model.Spec. Unknown fields and anything
// after the object are refused.
func DecodeSpec(body io.Reader) (model.Spec, *result.Error) {
	var spec model.Spec
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return model.Spec{}, bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return model.Spec{}, bodyError(err)
	}
	return spec, nil
}

// bodyError tells a body that is too large from one that can't be read.
func bodyError(err error) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &result.Error{Code: result.TooLarge, Reason: "the body is too large"}
	case err == nil:
		return &result.Error{Code: result.Malformed, Reason: "the body goes on after the request"}
	default:
		return &result.Error{Code: result.Malformed, Reason: "the body is no request: " + err.Error()}
	}
}

// DecodeSecret returns the secret of the Authorization header, empty when there
// is no such header.
func DecodeSecret(header http.Header) (string, *result.Error) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	secret, ok := strings.CutPrefix(values[0], bearer)
	if len(values) > 1 || !ok || secret == "" || len(secret) > maxSecretBytes {
		return "", &result.Error{Code: result.BadKey, Reason: "the Authorization header holds no bearer key"}
	}
	return secret, nil
}

// DecodeWait reads the wait of a query; empty is no wait.
func DecodeWait(text string) (time.Duration, *result.Error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, &result.Error{Code: result.Malformed, Reason: "wait is no duration such as 10s"}
	}
	return wait, nil
}
