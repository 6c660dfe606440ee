package harness

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usagePeriod is the time between two samples of a process.
const usagePeriod = 25 * time.Millisecond

// Usage is what a process uses of its instance. Bytes that the kernel has received for the
// process and that it has not read are charged to the instance like its own memory.
type Usage struct {
	// Resident and Unread are in bytes.
	Resident, Unread int64
	Sockets          int
}

// Memory returns the memory that the instance is charged, in bytes.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

// Meter samples the usage of a process.
type Meter struct {
	process int

	mu   sync.Mutex
	peak Usage
	// memory is the largest sum of resident memory and unread bytes of one sample.
	memory int64
}

// NewMeter returns a meter of the process.
func NewMeter(process int) *Meter { return &Meter{process: process} }

// Run samples the usage until ended is closed, when the process has ended.
func (m *Meter) Run(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(usagePeriod):
			m.sample()
		}
	}
}

// Peak returns the largest sample of each figure, and the largest memory of one sample.
func (m *Meter) Peak() (peak Usage, memory int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak, m.memory
}

func (m *Meter) sample() {
	now, err := readUsage(m.process)
	if err != nil {
		// The process has just ended.
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak.Resident = max(m.peak.Resident, now.Resident)
	m.peak.Unread = max(m.peak.Unread, now.Unread)
	m.peak.Sockets = max(m.peak.Sockets, now.Sockets)
	m.memory = max(m.memory, now.Memory())
}

func readUsage(process int) (Usage, error) {
	resident, err := residentBytes(process)
	if err != nil {
		return Usage{}, err
	}
	inodes := socketInodes(process)
	var connections []tcpSocket
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		found, err := readTCP(table)
		if err != nil {
			return Usage{}, err
		}
		connections = append(connections, found...)
	}
	return Usage{Resident: resident, Unread: unreadBytes(connections, inodes), Sockets: len(inodes)}, nil
}

func residentBytes(process int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, os.ErrProcessDone
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// socketInodes returns the inodes of the sockets that the process has open. Descriptors
// that are closed meanwhile are left out.
func socketInodes(process int) map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", process)
	inodes := map[string]bool{}
	entries, _ := os.ReadDir(dir)
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); err == nil && found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// tcpSocket is a row of /proc/net/tcp. A connection that has not been accepted has inode
// "0".
type tcpSocket struct {
	port, inode string
	listening   bool
	unread      int64
}

// stateListening is the state of a listener in /proc/net/tcp, whose receive queue counts
// connections.
const stateListening = "0A"

func readTCP(table string) ([]tcpSocket, error) {
	file, err := os.Open(table)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var sockets []tcpSocket
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[0] == "sl" {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return nil, err
		}
		_, port, _ := strings.Cut(fields[1], ":")
		sockets = append(sockets, tcpSocket{port: port, inode: fields[9], listening: fields[3] == stateListening, unread: unread})
	}
	return sockets, nil
}

// unreadBytes returns the bytes in the receive queues of the process's sockets and of the
// connections that wait to be accepted at its listeners.
func unreadBytes(sockets []tcpSocket, inodes map[string]bool) int64 {
	ports := map[string]bool{}
	for _, s := range sockets {
		if s.listening && inodes[s.inode] {
			ports[s.port] = true
		}
	}
	sum := int64(0)
	for _, s := range sockets {
		if !s.listening && (inodes[s.inode] || s.inode == "0" && ports[s.port]) {
			sum += s.unread
		}
	}
	return sum
}
