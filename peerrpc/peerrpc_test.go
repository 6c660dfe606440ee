package peerrpc_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

// deadline is generous: it is reached only by a failure.
const deadline = 30 * time.Second

// Echo is the service of these tests.
type Echo struct {
	// entered has a token for each call of Hang that has come.
	entered chan struct{}
	release chan struct{}
}

// Say returns what it is told.
func (e *Echo) Say(word string, reply *string) error {
	*reply = word
	return nil
}

// Refuse returns an error of the service.
func (e *Echo) Refuse(word string, _ *string) error { return eris.New("refused " + word) }

// Hang answers once it is released.
func (e *Echo) Hang(word string, reply *string) error {
	e.entered <- struct{}{}
	<-e.release
	*reply = word
	return nil
}

// serving is a server that runs.
type serving struct {
	address string
	echo    *Echo
	stop    func()
}

func serve() serving {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	echo := &Echo{entered: make(chan struct{}, 4), release: make(chan struct{})}
	server := peerrpc.NewServer()
	Expect(server.Register("Echo", echo)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	group.Serve(func(ctx context.Context) error { return server.Serve(ctx, listener, group.Serve) })
	stop := func() {
		cancel()
		Expect(group.Wait()).To(Succeed())
	}
	return serving{address: listener.Addr().String(), echo: echo, stop: stop}
}

var _ = Describe("Client", func() {
	It("calls, and hands back the peer's own errors as they are", func(ctx SpecContext) {
		s := serve()
		defer s.stop()
		client := peerrpc.NewClient()
		defer client.Close()
		var reply string
		Expect(client.Call(ctx, s.address, "Echo.Say", "word", &reply)).To(Succeed())
		Expect(reply).To(Equal("word"))
		err := client.Call(ctx, s.address, "Echo.Refuse", "word", &reply)
		Expect(err).To(MatchError("refused word"))
	}, SpecTimeout(deadline))

	It("says not sent when nobody listens", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		var reply string
		err = peerrpc.NewClient().Call(ctx, listener.Addr().String(), "Echo.Say", "word", &reply)
		Expect(eris.Is(err, peerrpc.ErrNotSent)).To(BeTrue())
	}, SpecTimeout(deadline))

	It("says no reply when the peer hangs or dies with the call", func(ctx SpecContext) {
		s := serve()
		defer s.stop()
		defer close(s.echo.release)
		client := peerrpc.NewClient()
		var reply string
		// Connected beforehand, so that the short time is the call's alone.
		Expect(client.Call(ctx, s.address, "Echo.Say", "word", &reply)).To(Succeed())
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		err := client.Call(short, s.address, "Echo.Hang", "word", &reply)
		Expect(eris.Is(err, peerrpc.ErrNoReply)).To(BeTrue())
		Eventually(s.echo.entered).WithTimeout(deadline).Should(Receive())

		result := make(chan error, 1)
		go func() { result <- client.Call(ctx, s.address, "Echo.Hang", "word", new(string)) }()
		// A call that is made after Close opens a connection of its own, so that
		// Hang has to have come before.
		Eventually(s.echo.entered).WithTimeout(deadline).Should(Receive())
		Expect(client.Call(ctx, s.address, "Echo.Say", "word", &reply)).To(Succeed())
		client.Close()
		Eventually(result).WithTimeout(deadline).Should(Receive(Not(BeNil())))
	}, SpecTimeout(deadline))

	It("leaves the reply alone that comes after the call was given up", func(ctx SpecContext) {
		s := serve()
		defer s.stop()
		client := peerrpc.NewClient()
		defer client.Close()
		Expect(client.Call(ctx, s.address, "Echo.Say", "word", new(string))).To(Succeed())
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		var late string
		Expect(client.Call(short, s.address, "Echo.Hang", "word", &late)).NotTo(Succeed())
		close(s.echo.release)
		Consistently(func() string { return late }, 300*time.Millisecond).Should(BeEmpty())
	}, SpecTimeout(deadline))

	It("connects again when its connection has gone silent and new ones work", func(ctx SpecContext) {
		s := serve()
		defer s.stop()
		proxies, end := context.WithCancel(ctx)
		group := duty.NewGroup(proxies)
		proxy, err := faultproxy.Listen(group, "127.0.0.1:0", s.address, 1)
		Expect(err).NotTo(HaveOccurred())
		client := peerrpc.NewClient()
		var reply string
		Expect(client.Call(ctx, proxy.Address(), "Echo.Say", "one", &reply)).To(Succeed())
		proxy.Set(faultproxy.Faults{Up: faultproxy.Direction{Lose: 1}})
		lost, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		Expect(client.Call(lost, proxy.Address(), "Echo.Say", "two", &reply)).NotTo(Succeed())
		cancel()
		proxy.Set(faultproxy.Faults{})
		short, cancel := context.WithTimeout(ctx, 5*time.Second)
		Expect(client.Call(short, proxy.Address(), "Echo.Say", "three", new(string))).To(Succeed())
		cancel()
		client.Close()
		end()
		Expect(group.Wait()).To(Succeed())
	}, SpecTimeout(deadline))

	It("connects again after the peer has come back", func(ctx SpecContext) {
		s := serve()
		client := peerrpc.NewClient()
		defer client.Close()
		var reply string
		Expect(client.Call(ctx, s.address, "Echo.Say", "one", &reply)).To(Succeed())
		s.stop()
		Eventually(func() error {
			return client.Call(ctx, s.address, "Echo.Say", "two", new(string))
		}).WithTimeout(deadline).ShouldNot(Succeed())
		again := serve()
		defer again.stop()
		Expect(client.Call(ctx, again.address, "Echo.Say", "three", &reply)).To(Succeed())
	}, SpecTimeout(deadline))
})
