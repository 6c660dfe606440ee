package ring

import "github.com/rotisserie/eris"

// ErrClosed is returned by Put once the ring is closed.
var ErrClosed = eris.New("ring is closed")
