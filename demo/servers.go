package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/standin"
)

// headerTimeout bounds the headers of one request to a stand-in.
const headerTimeout = 5 * time.Second

// servers are the running stand-ins.
type servers struct {
	ctx    context.Context
	cancel context.CancelFunc
	http   []*http.Server
	group  sync.WaitGroup
}

// startServers starts the stand-ins. What started is returned also with an error.
func (c *cluster) startServers() (*servers, error) {
	s := &servers{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for i := range engines {
		o := standin.Options{ID: fmt.Sprintf("engine-%d", i+1), Models: []string{"assistant"}}
		if err := c.startServer(s, o, i); err != nil {
			return s, err
		}
	}
	return s, c.startServer(s, standin.Options{ID: "stock-1", Services: []string{"stock"}}, 0)
}

func (c *cluster) startServer(all *servers, o standin.Options, i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "stand-in listener")
	}
	o.FailureDomain = domain(i)
	o.Slots = slots
	o.TokenInterval = tokenInterval
	o.PrefillRate = prefillRate
	o.Address = "http://" + ln.Addr().String()
	o.Log = c.o.Log.WithName("standin").WithValues("server", o.ID)
	for _, p := range c.processes {
		o.Entries = append(o.Entries, p.EntryURL())
	}
	all.run(standin.New(o), ln)
	return nil
}

// run serves one stand-in and announces it until stop.
func (s *servers) run(server *standin.Server, ln net.Listener) {
	front := &http.Server{Handler: server, ReadHeaderTimeout: headerTimeout}
	s.http = append(s.http, front)
	// Serve ends when stop closes the server.
	s.group.Go(func() { _ = front.Serve(ln) })
	s.group.Go(func() { server.Announce(s.ctx) })
}

// stop ends announcements and listeners and waits for their goroutines.
func (s *servers) stop() {
	s.cancel()
	for _, front := range s.http {
		front.Close()
	}
	s.group.Wait()
	http.DefaultClient.CloseIdleConnections()
}
