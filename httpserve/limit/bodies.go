package limit

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the largest size of a body that may use the reserved part. Usual jobs
	// have 1 KB.
	SmallBytes = 16 << 10
	// reservedFraction is the divisor of the part of each budget that only small bodies use.
	reservedFraction = 4
	// growStep is the number of bytes by which the charge of a large body grows.
	growStep = 16 << 10
	// smallTime is the age from which an unfinished small body may be evicted: one that
	// arrives whole takes a round trip.
	smallTime = 250 * time.Millisecond
	// stallTime is the time without a byte after which a large body may be evicted.
	stallTime = time.Second
	// pressureRate is the average rate in bytes per second below which a body may be
	// evicted although it is arriving: the largest legal body then takes 16 s.
	pressureRate = 16 << 10
)

// BodySettings are the limits of a Budget.
type BodySettings struct {
	// Bytes and Count bound the bytes that open bodies hold and their number.
	Bytes int64
	Count int
	// AddressShare is the fraction of both that one client address may use.
	AddressShare float64
	// Factor is the number of bytes held for each byte of a body, by its buffer and by what
	// is decoded from it.
	Factor int64
	// Reserve is set if a buffer of the declared size is allocated before the body arrives,
	// so that all of it is charged when the body is opened.
	Reserve bool
	// MinRate is the minimum average rate in bytes per second after the first StallTime.
	MinRate int64
	// StallTime is the longest time without a byte, BodyTime that of a whole body.
	StallTime, BodyTime time.Duration
}

// Budget decides which bodies of open requests a process holds. It is safe for concurrent
// use: each body is read on the goroutine of its connection.
type Budget struct {
	settings BodySettings

	mu   sync.Mutex
	open map[*Body]struct{}
	// general and reserved are what all bodies hold in each part, addresses what each
	// client address holds in the general part.
	general, reserved usage
	addresses         map[string]usage
}

// usage is an amount of bytes and of bodies.
type usage struct {
	bytes int64
	count int
}

// Body is the body of an open request.
type Body struct {
	address string
	// abort ends the reading of the body. It is called at most once, by the caller of the
	// method that returns the body as evicted.
	abort func()
	// reserved is set while the body uses the reserved part.
	reserved bool
	// whole is set when the body has been read to its end; it is no longer evicted.
	whole bool
	// evicted is set when it has been evicted and holds nothing any more.
	evicted bool
	held    usage
	// buffer is the part of held that Buffer has charged.
	buffer      int64
	received    int64
	began, last time.Time
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(settings BodySettings) *Budget {
	return &Budget{settings: settings, open: map[*Body]struct{}{}, addresses: map[string]usage{}}
}

// AbortAll ends the reading of bodies that were returned as evicted.
func AbortAll(evicted []*Body) {
	for _, body := range evicted {
		body.abort()
	}
}

// Open admits a body. declared is its size, negative if unknown; abort ends its reading
// from another goroutine. The evicted bodies have to be aborted. A body that is not
// admitted is nil.
func (g *Budget) Open(now time.Time, address string, declared int64, abort func()) (body *Body, cause Cause, evicted []*Body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	body = &Body{address: address, abort: abort, began: now, last: now}
	if declared >= 0 && declared <= SmallBytes {
		need := usage{declared * g.settings.Factor, 1}
		body.reserved = true
		cause, evicted = g.take(now, body, need)
		if cause != None {
			body.reserved = false
			var more []*Body
			cause, more = g.take(now, body, need)
			evicted = append(evicted, more...)
		}
	} else {
		cause, evicted = g.take(now, body, usage{g.reservation(declared) * g.settings.Factor, 1})
	}
	if cause != None {
		return nil, cause, evicted
	}
	g.open[body] = struct{}{}
	return body, None, evicted
}

// reservation returns the bytes of a large body that are charged before it arrives. declared
// is negative if its size is unknown.
func (g *Budget) reservation(declared int64) int64 {
	switch {
	case declared < 0:
		return growStep
	case g.settings.Reserve:
		return declared
	}
	return min(growStep, declared)
}

// Received records that n bytes of the body have been read. A body that may not go on gets
// a cause other than None, and holds nothing any more.
func (g *Budget) Received(now time.Time, body *Body, n int) (cause Cause, evicted []*Body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if body.evicted {
		return Evicted, nil
	}
	body.received += int64(n)
	body.last = now
	for body.held.bytes-body.buffer < body.received*g.settings.Factor {
		more, victims := g.take(now, body, usage{growStep * g.settings.Factor, 0})
		evicted = append(evicted, victims...)
		if more != None {
			g.release(body)
			return more, evicted
		}
	}
	return None, evicted
}

// Hold charges the body's request for further bytes, which it holds until Close. A small
// body that has been read to its end does not use the reserved part for them.
func (g *Budget) Hold(now time.Time, body *Body, bytes int64) (cause Cause, evicted []*Body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if body.held == (usage{}) {
		body.reserved = false
	}
	return g.take(now, body, usage{bytes, 0})
}

// Buffer charges a large body for a larger receive buffer of its connection, until the
// body is released. It returns false if that would leave less than half of the budget to
// the bodies themselves.
func (g *Budget) Buffer(body *Body, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	general := g.settings.Bytes - g.settings.Bytes/reservedFraction
	if body.evicted || body.reserved || body.buffer > 0 || g.general.bytes+bytes > general/2 {
		return false
	}
	body.buffer = bytes
	g.charge(body, usage{bytes, 0})
	return true
}

// Whole records that the body has been read to its end. A small one holds nothing from
// then on: what is kept of it is bounded by the number of connections. It returns false if
// the body has been evicted.
func (g *Budget) Whole(body *Body) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if body.evicted {
		return false
	}
	body.whole = true
	if body.received <= SmallBytes {
		g.release(body)
	}
	return true
}

// Close releases what the body's request holds.
func (g *Budget) Close(body *Body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(body)
}

// Deadline returns the time by which the next bytes of the body have to arrive.
func (g *Budget) Deadline(body *Body) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	byRate := body.began.Add(g.settings.StallTime + time.Duration(float64(body.received)/float64(g.settings.MinRate)*float64(time.Second)))
	deadline := body.last.Add(g.settings.StallTime)
	for _, other := range []time.Time{byRate, body.began.Add(g.settings.BodyTime)} {
		if other.Before(deadline) {
			deadline = other
		}
	}
	return deadline
}

// Used returns the number of open bodies and the bytes that they hold.
func (g *Budget) Used() (bodies int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.general.count + g.reserved.count, g.general.bytes + g.reserved.bytes
}

// take charges the body for more of its part, if necessary after evictions. The caller
// holds mu.
func (g *Budget) take(now time.Time, body *Body, more usage) (Cause, []*Body) {
	var evicted []*Body
	for {
		cause := g.lacking(body, more)
		if cause == None {
			break
		}
		victim := g.victim(now, body, cause)
		if victim == nil {
			return cause, evicted
		}
		victim.evicted = true
		g.release(victim)
		evicted = append(evicted, victim)
	}
	g.charge(body, more)
	return None, evicted
}

// lacking returns the limit that more would exceed.
func (g *Budget) lacking(body *Body, more usage) Cause {
	reservedBytes, reservedCount := g.settings.Bytes/reservedFraction, g.settings.Count/reservedFraction
	used, bytes, count := g.reserved, reservedBytes, reservedCount
	if !body.reserved {
		used, bytes, count = g.general, g.settings.Bytes-reservedBytes, g.settings.Count-reservedCount
	}
	address := g.addresses[body.address]
	share := g.settings.AddressShare
	switch {
	case used.bytes+more.bytes > bytes:
		return Bytes
	case used.count+more.count > count:
		return Bodies
	case !body.reserved && float64(address.bytes+more.bytes) > share*float64(bytes):
		return AddressBytes
	case !body.reserved && float64(address.count+more.count) > share*float64(count):
		return AddressBodies
	}
	return None
}

// victim returns the unfinished body of the same part that has received nothing for
// longest, or the slowest one; nil if all arrive fast enough. It is one of the same
// address if that has used up its share.
func (g *Budget) victim(now time.Time, body *Body, cause Cause) *Body {
	var found *Body
	for other := range g.open {
		switch {
		case other == body || other.whole || other.reserved != body.reserved || !other.evictable(now):
		case (cause == AddressBytes || cause == AddressBodies) && other.address != body.address:
		case found == nil || other.last.Before(found.last):
			found = other
		}
	}
	return found
}

func (b *Body) evictable(now time.Time) bool {
	age := now.Sub(b.began)
	if b.reserved {
		return age >= smallTime
	}
	slow := age >= stallTime && float64(b.received) < age.Seconds()*pressureRate
	return slow || now.Sub(b.last) >= stallTime
}

func (g *Budget) charge(body *Body, more usage) {
	body.held.bytes += more.bytes
	body.held.count += more.count
	g.add(body, more)
}

// release returns what the body holds. The caller holds mu.
func (g *Budget) release(body *Body) {
	g.add(body, usage{-body.held.bytes, -body.held.count})
	body.held, body.buffer = usage{}, 0
	delete(g.open, body)
}

func (g *Budget) add(body *Body, u usage) {
	if body.reserved {
		g.reserved.bytes += u.bytes
		g.reserved.count += u.count
		return
	}
	g.general.bytes += u.bytes
	g.general.count += u.count
	address := g.addresses[body.address]
	address.bytes += u.bytes
	address.count += u.count
	if address == (usage{}) {
		delete(g.addresses, body.address)
		return
	}
	g.addresses[body.address] = address
}
