// Package supervise implements the supervisor tree. Every component of a process is
// a node with a path, a state and a count of starts. The suture library restarts
// failed services with back-off.
package supervise

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// State is the state of one node.
type State string

// The states of a node.
const (
	Starting State = "starting"
	Running  State = "running"
	Failed   State = "failed"
	Stopped  State = "stopped"
	// Passive nodes have no goroutine. They run on the goroutines of their callers.
	Passive State = "passive"
)

// Settings of suture. A supervisor backs off for failureBackoff when the failures of
// its children, which decay over failureDecay, exceed failureThreshold.
const (
	failureThreshold = 5
	failureDecay     = 30 * time.Second
	failureBackoff   = 500 * time.Millisecond
	stopTimeout      = 10 * time.Second
)

// Service is a component with a goroutine. Serve must return when ctx ends.
type Service interface {
	Serve(ctx context.Context) error
}

// Node is a component in the supervisor tree.
type Node struct {
	// Path is the path of the package folder below root, such as "control/loop".
	Path string
	log  logr.Logger
	sup  *suture.Supervisor
	// serviceToken identifies the node in its parent's supervisor. Passive nodes have
	// none.
	serviceToken *suture.ServiceToken
	state        atomic.Value
	starts       atomic.Int64
	mu           sync.Mutex
	children     []*Node
}

// Info is a snapshot of one node for operators.
type Info struct {
	Path     string `json:"path"`
	State    State  `json:"state"`
	Restarts int64  `json:"restarts"`
	Children []Info `json:"children,omitempty"`
}

// NewRoot returns the root of a tree. Its path is empty.
func NewRoot(log logr.Logger) *Node {
	n := &Node{log: log}
	n.state.Store(Starting)
	n.sup = suture.New("root", n.spec())
	return n
}

func (n *Node) spec() suture.Spec {
	return suture.Spec{
		EventHook:        n.logEvent,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay.Seconds(),
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
	}
}

func (n *Node) logEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		n.log.Error(nil, "child panicked", "child", e.ServiceName, "panic", e.PanicMsg, "stack", e.Stacktrace)
	case suture.EventServiceTerminate:
		err, _ := e.Err.(error)
		n.log.Error(err, "child failed", "child", e.ServiceName, "restarting", e.Restarting)
	case suture.EventBackoff:
		n.log.Info("restarts are backing off", "supervisor", e.SupervisorName)
	}
}

// Supervisor adds a child that supervises its own children.
func (n *Node) Supervisor(name string) *Node {
	c := n.newChild(name)
	c.sup = suture.New(c.Path, c.spec())
	n.addService(c, c.sup)
	return c
}

// Service adds a child that runs s.
func (n *Node) Service(name string, s Service) *Node {
	c := n.newChild(name)
	n.addService(c, s)
	return c
}

func (n *Node) addService(c *Node, s Service) {
	token := n.sup.Add(&trackedService{node: c, inner: s})
	c.serviceToken = &token
}

// Passive adds a child without a goroutine of its own.
func (n *Node) Passive(name string) *Node {
	c := n.newChild(name)
	c.state.Store(Passive)
	return c
}

func (n *Node) newChild(name string) *Node {
	path := name
	if n.Path != "" {
		path = n.Path + "/" + name
	}
	c := &Node{Path: path, log: n.log.WithName(name)}
	c.state.Store(Starting)
	n.mu.Lock()
	n.children = append(n.children, c)
	n.mu.Unlock()
	return c
}

// Log returns the node's logger, named after its path.
func (n *Node) Log() logr.Logger { return n.log }

// Serve runs the tree until ctx ends.
func (n *Node) Serve(ctx context.Context) error {
	n.state.Store(Running)
	defer n.state.Store(Stopped)
	return n.sup.Serve(ctx)
}

// StopChildren stops the children one at a time in reverse order of their addition.
// It logs a child that does not end within stopTimeout and continues without it.
func (n *Node) StopChildren() {
	n.mu.Lock()
	children := slices.Clone(n.children)
	n.mu.Unlock()
	for _, c := range slices.Backward(children) {
		if c.serviceToken == nil {
			continue
		}
		if c.sup != nil {
			c.StopChildren()
		}
		if err := n.sup.RemoveAndWait(*c.serviceToken, stopTimeout); err != nil {
			n.log.Error(err, "child did not stop before the timeout", "child", c.Path)
		}
	}
}

// Info returns the state of the node and its descendants.
func (n *Node) Info() Info {
	n.mu.Lock()
	children := slices.Clone(n.children)
	n.mu.Unlock()
	state, _ := n.state.Load().(State)
	info := Info{Path: n.Path, State: state, Restarts: max(0, n.starts.Load()-1)}
	for _, c := range children {
		info.Children = append(info.Children, c.Info())
	}
	return info
}

// trackedService records the starts and state of a child. If the service fails with
// fault.Corrupt, it terminates the entire tree, since a restart must not continue on
// corrupt durable state.
type trackedService struct {
	node  *Node
	inner Service
}

// Serve runs the child once.
func (t *trackedService) Serve(ctx context.Context) error {
	t.node.starts.Add(1)
	t.node.state.Store(Running)
	err := t.inner.Serve(ctx)
	if ctx.Err() != nil {
		t.node.state.Store(Stopped)
		return err
	}
	t.node.state.Store(Failed)
	var typed *fault.Error
	if errors.As(err, &typed) && typed.Kind == fault.Corrupt {
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	return err
}

// String returns the name of the child in suture's events.
func (t *trackedService) String() string { return t.node.Path }
