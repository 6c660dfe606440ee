package duty

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// threadNameBytes is the longest thread name that the kernel stores.
const threadNameBytes = 15

// nameThread sets the name of the calling thread, which ps and top show. An error is
// ignored, since nothing else depends on the name.
func nameThread(name string) {
	raw, err := unix.BytePtrFromString(name[:min(len(name), threadNameBytes)])
	if err != nil {
		return
	}
	_ = unix.Prctl(unix.PR_SET_NAME, uintptr(unsafe.Pointer(raw)), 0, 0, 0)
}
