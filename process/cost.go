package process

import (
	"expvar"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// kib is the unit in which the kernel reports the resident set.
const kib = 1024

// Cost is what a process has used since it started.
type Cost struct {
	// CPU is the processor time in user and system mode.
	CPU time.Duration `json:"cpu_ns"`
	// PeakMemory is the largest resident set in bytes.
	PeakMemory int64 `json:"peak_memory_bytes"`
	// Threads is the number of goroutines, the libraries' own included.
	Threads int `json:"threads"`
}

// CurrentCost returns the cost of this process. It is zero where the kernel
// doesn't tell.
func CurrentCost() Cost {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return Cost{}
	}
	return Cost{
		CPU:        time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		PeakMemory: usage.Maxrss * kib,
		Threads:    runtime.NumGoroutine(),
	}
}

func init() {
	expvar.Publish("cost", expvar.Func(func() any { return CurrentCost() }))
}
