package process

import (
	"expvar"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// kib is the number of bytes in the unit in which the kernel reports the resident
// set size.
const kib = 1024

// Cost is the resource usage of a process since it started.
type Cost struct {
	// CPU is the CPU time in user and system mode.
	CPU time.Duration `json:"cpu_ns"`
	// PeakMemory is the peak resident set size in bytes.
	PeakMemory int64 `json:"peak_memory_bytes"`
	// Threads is the number of goroutines, including those of libraries.
	Threads int `json:"threads"`
}

// CurrentCost returns the resource usage of this process. It is zero when
// getrusage fails.
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
