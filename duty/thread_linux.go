package duty

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// threadNameBytes is the longest name the kernel keeps for a thread.
const threadNameBytes = 15

// nameThread shows name for the calling thread in ps and top. A name that the
// kernel refuses is only missing there, so the error is dropped.
func nameThread(name string) {
	raw, err := unix.BytePtrFromString(name[:min(len(name), threadNameBytes)])
	if err != nil {
		return
	}
	_ = unix.Prctl(unix.PR_SET_NAME, uintptr(unsafe.Pointer(raw)), 0, 0, 0)
}
