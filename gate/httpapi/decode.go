package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// maxSecretBytes is the maximum length of a key's secret.
const maxSecretBytes = 512

// DecodeSpec decodes one model.Spec from JSON. Unknown fields and data after the
// object are errors.
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

// bodyError maps a decoding error to TooLarge or Malformed. A nil error means
// that data follows the object.
func bodyError(err error) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &result.Error{Code: result.TooLarge, Reason: "the body is too large"}
	case httpserve.IsRefused(err):
		return &result.Error{Code: result.Busy, Reason: "too many open requests"}
	case err == nil:
		return &result.Error{Code: result.Malformed, Reason: "the body goes on after the request"}
	default:
		return &result.Error{Code: result.Malformed, Reason: "the body is no request: " + err.Error()}
	}
}

// DecodeSecret returns the secret from the Authorization header; empty when the
// header is absent.
func DecodeSecret(header http.Header) (string, *result.Error) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	secret, ok := strings.CutPrefix(values[0], bearerPrefix)
	if len(values) > 1 || !ok || secret == "" || len(secret) > maxSecretBytes {
		return "", &result.Error{Code: result.BadKey, Reason: "the Authorization header holds no bearer key"}
	}
	return secret, nil
}

// DecodeWait parses the wait parameter of a query; an empty one means no wait.
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
