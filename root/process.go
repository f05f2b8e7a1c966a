// Package root is the root supervisor of one process. It opens the listeners and the
// data folder that the settings name, builds the supervisor tree, serves, and shuts
// down gracefully.
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

// Process holds the components of one process of the cluster.
type Process struct {
	settings    *settings.Settings
	log         logr.Logger
	incarnation uint64
	tree        *supervise.Node
	views       *view.Store
	loop        *loop.Loop
	mesh        *peers.Mesh
	// dispatcher assigns requests of the product's own API to backend servers, and
	// placer those of the platform's API.
	dispatcher *dispatch.Dispatcher
	placer     *placement.Placer
	traffic    *traffic.Traffic
	metrics    *metricSet
	// untrusted bounds what callers make this process hold.
	untrusted *untrusted
	routed    *traffic.Routed
	store     *storage.Store
	writer    *storage.Writer
	// replicaID is that of the data folder; empty without a replica.
	replicaID consensus.ReplicaID
	orders    *orders.Sender
	// applied is the newest view that the dispatcher or placer has applied.
	applied atomic.Pointer[view.View]
	// burnRecorder counts the role changes of each view. It is set before any listener
	// serves.
	burnRecorder atomic.Pointer[burn.Recorder]
	listeners    Listeners
	// left is closed once no VM advertises this process's address to callers any more.
	left     chan struct{}
	leftOnce sync.Once
	// halted receives the first error that stops the process.
	halted chan *fault.Error
}

// Listeners are bound before any of them serves, so that a port in use is an error
// at start. Entry is nil if the process is not an entry.
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

// Close closes all bound listeners.
func (l Listeners) Close() {
	for _, ln := range append(l.Platform.all(), l.Peers, l.Entry, l.Operator) {
		if ln != nil {
			ln.Close()
		}
	}
}

// Open binds the listeners, opens the data folder and builds the supervisor tree.
// The process accepts no connections before Serve.
func Open(s *settings.Settings, log logr.Logger) (*Process, error) {
	l, err := Listen(s)
	if err != nil {
		return nil, err
	}
	return OpenWithListeners(s, l, log)
}

// OpenWithListeners is Open with listeners that are already bound. It takes
// ownership of them.
func OpenWithListeners(s *settings.Settings, l Listeners, log logr.Logger) (*Process, error) {
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
	p.untrusted = newUntrusted(p.settings, p.log.WithName("traffic"))
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
	return p.buildFrontends()
}

// close releases the resources that Open has acquired, after a failure before Serve.
func (p *Process) close() {
	p.listeners.Close()
	p.closeStore()
}

func (p *Process) closeStore() {
	if p.store == nil {
		return
	}
	if err := p.store.Close(); err != nil {
		p.log.Error(err, "failed to close the data folder")
	}
}

// openStorage opens the data folder of a replica. An empty folder gets the id that
// newReplicaID returns. It is a new one, so that a VM that has lost its disk, and with
// it the record of its votes, does not vote again under its old id. While
// discovery.bootstrap is set this does not hold for a seed, which gets its initial id
// again.
func (p *Process) openStorage() (*control.ReplicaOptions, error) {
	if p.settings.Replica == nil {
		return nil, nil
	}
	store, restored, id, err := storage.Open(p.settings.Replica.DataFolder, storage.Options{
		Cluster:    p.settings.Cluster,
		NewReplica: p.newReplicaID(),
		OnDiskFull: p.onDiskFull,
	})
	if err != nil {
		return nil, err
	}
	p.store, p.replicaID = store, id.Replica
	node := p.tree.Supervisor("storage")
	if torn := store.TornTail(); torn != nil {
		node.Log().Info("truncated an incomplete write at the end of the log", "file", torn.File, "offset", torn.Offset)
	}
	p.writer = storage.NewWriter(store, p.onPersisted, p.onWriteFailed)
	node.Service("writer", p.writer)
	for _, name := range []string{"files", "record", "snap", "wal"} {
		node.Passive(name)
	}
	return &control.ReplicaOptions{ID: id.Replica, Restored: restored, Bootstrap: p.bootstrapMembers(id.Replica)}, nil
}

// newReplicaID returns the replica id for an empty data folder. It is the initial id
// of the VM if the settings bootstrap a new cluster with this VM as a seed, and
// otherwise a random id that was never used.
func (p *Process) newReplicaID() consensus.ReplicaID {
	s := p.settings
	bootstraps := s.Discovery != nil && s.Discovery.Bootstrap && slices.Contains(s.Replicas(), s.VM)
	if bootstraps {
		return InitialReplicaID(s.VM)
	}
	return consensus.ReplicaID(s.VM + "/" + randomID())
}

// bootstrapMembers returns the initial membership of a new cluster. It is empty for
// a replica with a later id, which joins as a learner.
func (p *Process) bootstrapMembers(id consensus.ReplicaID) consensus.Members {
	if id != InitialReplicaID(p.settings.VM) {
		return consensus.Members{}
	}
	var m consensus.Members
	for _, vm := range p.settings.Replicas() {
		m.Voters = append(m.Voters, InitialReplicaID(vm))
	}
	return m
}

// InitialReplicaID returns the id of a VM's replica in a new cluster, as the format
// command assigns it.
func InitialReplicaID(vm string) consensus.ReplicaID { return consensus.ReplicaID(vm + "/first") }

func (p *Process) onPersisted(seq uint64) {
	// Persisted is a reliable event: the inbox never drops it, and the loop runs
	// longer than the writer.
	_ = p.loop.Post(context.Background(), machine.Persisted{Seq: seq})
}

func (p *Process) onDiskFull(name string, waiting bool) {
	if waiting {
		p.log.Error(nil, "disk full: this replica acknowledges no writes until space is available", "file", name)
		return
	}
	p.log.Info("disk space is available again", "file", name)
}

func (p *Process) onWriteFailed(err error) { p.halt(fault.From(err)) }

func (p *Process) halt(err *fault.Error) {
	select {
	case p.halted <- err:
	default:
	}
}

// EntryURL returns the base URL for callers. It is empty if the process is not an
// entry.
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
	// crypto/rand.Read never returns an error.
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
		Server:    p.serverOptions(smallListener),
		Bodies:    p.untrusted.bodies,
		Token:     token,
		VM:        p.settings.VM,
		Views:     p.views,
		Submitter: p.loop,
		Tree:      p.tree.Info,
		Metrics:   p.collectDebugVars,
		Log:       p.log.WithName("operator"),
	}, err
}

// Tree returns the state of the supervisor tree.
func (p *Process) Tree() supervise.Info { return p.tree.Info() }
