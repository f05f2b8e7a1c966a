// Package supervise builds the supervisor tree: every part of a process is a
// node with a path, a state and a count of starts. Restarts with back-off come
// from the suture library.
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
	// Passive nodes have no goroutine; they run on the thread of their caller.
	Passive State = "passive"
)

// Limits of restarts: a child that fails more often within the decay time
// fails its parent.
const (
	failureThreshold = 5
	failureDecay     = 30 * time.Second
	failureBackoff   = 500 * time.Millisecond
	stopTimeout      = 10 * time.Second
)

// Service is one part with a goroutine. Serve returns when ctx ends.
type Service interface {
	Serve(ctx context.Context) error
}

// Node is one place in the tree.
type Node struct {
	// Path is the folder path below root, such as "control/loop".
	Path string
	log  logr.Logger
	sup  *suture.Supervisor
	// token names the node in its parent's supervisor; passive nodes have none.
	token    *suture.ServiceToken
	state    atomic.Value
	starts   atomic.Int64
	mu       sync.Mutex
	children []*Node
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
		EventHook:        n.hook,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay.Seconds(),
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
	}
}

func (n *Node) hook(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		n.log.Error(nil, "a child panicked", "child", e.ServiceName, "panic", e.PanicMsg, "stack", e.Stacktrace)
	case suture.EventServiceTerminate:
		err, _ := e.Err.(error)
		n.log.Error(err, "a child failed", "child", e.ServiceName, "restarting", e.Restarting)
	case suture.EventBackoff:
		n.log.Info("restarts are backing off", "supervisor", e.SupervisorName)
	}
}

// Supervisor adds a child supervisor.
func (n *Node) Supervisor(name string) *Node {
	c := n.child(name)
	c.sup = suture.New(c.Path, c.spec())
	n.add(c, c.sup)
	return c
}

// Service adds a child that runs s.
func (n *Node) Service(name string, s Service) *Node {
	c := n.child(name)
	n.add(c, s)
	return c
}

func (n *Node) add(c *Node, s Service) {
	token := n.sup.Add(&tracked{node: c, service: s})
	c.token = &token
}

// Passive adds a part without a goroutine of its own.
func (n *Node) Passive(name string) *Node {
	c := n.child(name)
	c.state.Store(Passive)
	return c
}

func (n *Node) child(name string) *Node {
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

// Log returns the logger with the node's path as prefix.
func (n *Node) Log() logr.Logger { return n.log }

// Serve runs the tree until ctx ends.
func (n *Node) Serve(ctx context.Context) error {
	n.state.Store(Running)
	defer n.state.Store(Stopped)
	return n.sup.Serve(ctx)
}

// StopChildren stops the children one by one, the last one first. A child that
// does not end within the stop timeout is left behind and logged.
func (n *Node) StopChildren() {
	n.mu.Lock()
	children := slices.Clone(n.children)
	n.mu.Unlock()
	for _, c := range slices.Backward(children) {
		if c.token == nil {
			continue
		}
		if c.sup != nil {
			c.StopChildren()
		}
		if err := n.sup.RemoveAndWait(*c.token, stopTimeout); err != nil {
			n.log.Error(err, "a child did not stop in time", "child", c.Path)
		}
	}
}

// Info returns the state of the node and everything below it.
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

// tracked records starts and ends of one child. A corrupt durable state ends
// the whole tree instead of a restart over it.
type tracked struct {
	node    *Node
	service Service
}

// Serve runs the child once.
func (t *tracked) Serve(ctx context.Context) error {
	t.node.starts.Add(1)
	t.node.state.Store(Running)
	err := t.service.Serve(ctx)
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

// String names the child in the supervisor's reports.
func (t *tracked) String() string { return t.node.Path }
