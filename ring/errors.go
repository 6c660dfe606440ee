package ring

import "github.com/rotisserie/eris"

// ErrClosed is returned by Put when the ring is closed.
var ErrClosed = eris.New("ring is closed")
