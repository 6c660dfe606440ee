package httpapi

import (
	"net/http"

	"github.com/hornbeamworks/hornbeam/result"
)

// statuses maps result codes to HTTP statuses.
var statuses = map[result.Code]int{
	result.OK:                http.StatusOK,
	result.Pending:           http.StatusAccepted,
	result.Malformed:         http.StatusBadRequest,
	result.TooLarge:          http.StatusRequestEntityTooLarge,
	result.UnknownClass:      http.StatusUnprocessableEntity,
	result.UnknownTeam:       http.StatusUnprocessableEntity,
	result.BadKey:            http.StatusUnauthorized,
	result.ImpossibleSize:    http.StatusUnprocessableEntity,
	result.UnknownRequest:    http.StatusNotFound,
	result.KeyReused:         http.StatusConflict,
	result.NotAllowed:        http.StatusForbidden,
	result.QueueFull:         http.StatusTooManyRequests,
	result.OverLimit:         http.StatusTooManyRequests,
	result.WindowPassed:      http.StatusGatewayTimeout,
	result.Cancelled:         http.StatusGone,
	result.TaskFailed:        http.StatusInternalServerError,
	result.ShortOfCapacity:   http.StatusServiceUnavailable,
	result.HomeUnreachable:   http.StatusGatewayTimeout,
	result.StoreUnavailable:  http.StatusServiceUnavailable,
	result.ConfigStale:       http.StatusServiceUnavailable,
	result.Draining:          http.StatusServiceUnavailable,
	result.OutcomeUnknown:    http.StatusInternalServerError,
	result.NotHolder:         http.StatusServiceUnavailable,
	result.NoConfig:          http.StatusServiceUnavailable,
	result.Busy:              http.StatusTooManyRequests,
	result.CancelledRunning:  http.StatusGone,
	result.HomeNotReached:    http.StatusServiceUnavailable,
	result.ChangeConflict:    http.StatusConflict,
	result.ChangeRejected:    http.StatusUnprocessableEntity,
	result.ChangeUnconfirmed: http.StatusBadGateway,
}

// Status returns the HTTP status of the code; 500 for an unknown code.
func Status(code result.Code) int {
	if status, found := statuses[code]; found {
		return status
	}
	return http.StatusInternalServerError
}
