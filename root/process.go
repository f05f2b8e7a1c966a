// Package root is the root supervisor of one process: it opens what the
// settings name, builds the tree, serves, and stops in order.
package root

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
	"github.com/wagtaildyke/wagtaildyke/root/orders"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
	"github.com/wagtaildyke/wagtaildyke/root/storage"
	"github.com/wagtaildyke/wagtaildyke/root/traffic"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/settings"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const part = "root"

// Process is one running daemon.
type Process struct {
	settings    *settings.Settings
	log         logr.Logger
	incarnation uint64
	tree        *supervise.Node
	views       *view.Store
	loop        *loop.Loop
	mesh        *peers.Mesh
	// dispatcher serves the own front, placer the platform's.
	dispatcher *dispatch.Dispatcher
	placer     *placement.Placer
	traffic    *traffic.Traffic
	counters   *counters
	routed     *traffic.Routed
	store      *storage.Store
	writer     *storage.Writer
	orders     *orders.Sender
	// applied is the newest view that the dispatcher goes by.
	applied atomic.Pointer[view.View]
	// recorder counts role changes in each view; set before anything is served.
	recorder  atomic.Pointer[burn.Recorder]
	listeners Listeners
	// left is closed once no entry gives this process's address to callers.
	left     chan struct{}
	leftOnce sync.Once
	// halted receives the error that ends the process.
	halted chan *fault.Error
}

// Listeners are bound before anything is served, so that a taken port is an
// error at start. Entry is nil without an entry part.
type Listeners struct {
	Peers, Entry, Operator net.Listener
	Platform               PlatformListeners
}

// Listen binds the listeners that the settings name.
func Listen(s *settings.Settings) (l Listeners, err error) {
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	if l.Peers, err = listen("peers", s.Peers.Listen); err != nil {
		return l, err
	}
	if l.Operator, err = listen("operator", s.Operator.Listen); err != nil {
		return l, err
	}
	if s.Entry != nil {
		if l.Entry, err = listen("entry", s.Entry.Listen); err != nil {
			return l, err
		}
	}
	if s.Platform != nil {
		l.Platform, err = listenPlatform(s.Platform)
	}
	return l, err
}

func listen(field, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, part, "%s.listen", field).WithRan(fault.RanNo)
	}
	return ln, nil
}

// Close closes the listeners that are bound.
func (l Listeners) Close() {
	for _, ln := range append(l.Platform.all(), l.Peers, l.Entry, l.Operator) {
		if ln != nil {
			ln.Close()
		}
	}
}

// Open binds the listeners, opens the data folder and builds the tree. Nothing
// is served before Serve.
func Open(s *settings.Settings, log logr.Logger) (*Process, error) {
	l, err := Listen(s)
	if err != nil {
		return nil, err
	}
	return OpenOn(s, l, log)
}

// OpenOn is Open on listeners that are bound already. It owns them.
func OpenOn(s *settings.Settings, l Listeners, log logr.Logger) (*Process, error) {
	p := &Process{
		settings:    s,
		log:         log,
		incarnation: uint64(time.Now().UnixNano()),
		views:       &view.Store{},
		listeners:   l,
		left:        make(chan struct{}),
		halted:      make(chan *fault.Error, 1),
	}
	if err := p.build(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *Process) build() error {
	p.tree = supervise.NewRoot(p.log)
	replica, err := p.openStorage()
	if err != nil {
		return err
	}
	if err := p.buildMesh(); err != nil {
		return err
	}
	if err := p.buildControl(replica); err != nil {
		return err
	}
	p.buildPeers()
	return p.buildFronts()
}

// close frees what Open took; it is for failures before Serve.
func (p *Process) close() {
	p.listeners.Close()
	p.closeStore()
}

func (p *Process) closeStore() {
	if p.store == nil {
		return
	}
	if err := p.store.Close(); err != nil {
		p.log.Error(err, "the data folder did not close cleanly")
	}
}

// openStorage opens the data folder of a replica. An empty folder gets a new
// identity, so that a VM that lost its disk never votes as its old self.
func (p *Process) openStorage() (*control.ReplicaOptions, error) {
	if p.settings.Replica == nil {
		return nil, nil
	}
	store, restored, id, err := storage.Open(p.settings.Replica.DataFolder, storage.Options{
		Cluster:    p.settings.Cluster,
		NewReplica: p.newIdentity(),
		Full:       p.diskFull,
	})
	if err != nil {
		return nil, err
	}
	p.store = store
	node := p.tree.Supervisor("storage")
	if torn := store.Torn(); torn != nil {
		node.Log().Info("cut the torn end of the log", "file", torn.File, "offset", torn.Offset)
	}
	p.writer = storage.NewWriter(store, p.persisted, p.writeFailed)
	node.Service("writer", p.writer)
	for _, name := range []string{"files", "record", "snap", "wal"} {
		node.Passive(name)
	}
	return &control.ReplicaOptions{ID: id.Replica, Restored: restored, Bootstrap: p.bootstrap(id.Replica)}, nil
}

// newIdentity is the identity for an empty data folder: a founding one where the
// settings say that the cluster starts for the first time, and otherwise one
// that was never used.
func (p *Process) newIdentity() consensus.ReplicaID {
	s := p.settings
	founds := s.Discovery != nil && s.Discovery.Bootstrap && slices.Contains(s.Replicas(), s.VM)
	if founds {
		return FirstIdentity(s.VM)
	}
	return consensus.ReplicaID(s.VM + "/" + randomID())
}

// bootstrap returns the first members of a formatted cluster. A replica under
// a later identity starts as a learner and knows none.
func (p *Process) bootstrap(id consensus.ReplicaID) consensus.Members {
	if id != FirstIdentity(p.settings.VM) {
		return consensus.Members{}
	}
	var m consensus.Members
	for _, vm := range p.settings.Replicas() {
		m.Voters = append(m.Voters, FirstIdentity(vm))
	}
	return m
}

// FirstIdentity is the identity that format gives to a VM's replica in a new
// cluster.
func FirstIdentity(vm string) consensus.ReplicaID { return consensus.ReplicaID(vm + "/first") }

func (p *Process) persisted(seq uint64) {
	// The inbox keeps this event; the loop outlives the writer.
	_ = p.loop.Post(context.Background(), machine.Persisted{Seq: seq})
}

func (p *Process) diskFull(name string, waits bool) {
	if waits {
		p.log.Error(nil, "the disk is full: this replica acknowledges nothing until there is room", "file", name)
		return
	}
	p.log.Info("there is room on the disk again", "file", name)
}

func (p *Process) writeFailed(err error) { p.halt(fault.From(err)) }

func (p *Process) halt(err *fault.Error) {
	select {
	case p.halted <- err:
	default:
	}
}

// EntryURL returns the base URL for callers; empty without an entry part.
func (p *Process) EntryURL() string {
	switch {
	case p.listeners.Platform.Frontend != nil:
		return "http://" + p.listeners.Platform.Frontend.Addr().String()
	case p.listeners.Entry == nil:
		return ""
	case p.settings.Entry.Address != "":
		return p.settings.Entry.Address
	default:
		return "http://" + p.listeners.Entry.Addr().String()
	}
}

// OperatorURL returns the base URL for operators.
func (p *Process) OperatorURL() string { return "http://" + p.listeners.Operator.Addr().String() }

func randomID() string {
	var b [8]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fault.Wrap(err, fault.Settings, part, "operator.token_file")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", fault.New(fault.Settings, part, "operator.token_file: %s is empty", file)
	}
	return token, nil
}

func (p *Process) operatorOptions() (operator.Options, error) {
	token, err := readToken(p.settings.Operator.TokenFile)
	return operator.Options{
		Listener:  p.listeners.Operator,
		Token:     token,
		VM:        p.settings.VM,
		Views:     p.views,
		Submitter: p.loop,
		Tree:      p.tree.Info,
		Metrics:   p.metrics,
		Log:       p.log.WithName("operator"),
	}, err
}

// Tree returns the supervisor tree's state.
func (p *Process) Tree() supervise.Info { return p.tree.Info() }
