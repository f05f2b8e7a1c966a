package scenario_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exitLimit bounds the wait for a process that was killed.
const exitLimit = 5 * time.Second

// process is one process of the binary under test. It can be started again.
type process struct {
	name string
	args []string
	log  string
	// maxFiles is the process's limit on descriptors; 0 for that of the test.
	maxFiles int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return fmt.Errorf("%s runs already", p.name)
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(binary, p.args...)
	if p.maxFiles > 0 {
		limited := []string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(p.maxFiles), binary}
		cmd = exec.Command("sh", append(limited, p.args...)...)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		// The exit code is read from the process state.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (p *process) runs() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(sig os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was never started", p.name)
	}
	return p.cmd.Process.Signal(sig)
}

func (p *process) pause() error  { return p.signal(syscall.SIGSTOP) }
func (p *process) resume() error { return p.signal(syscall.SIGCONT) }
func (p *process) term() error   { return p.signal(syscall.SIGTERM) }

func (p *process) kill() error {
	if err := p.signal(os.Kill); err != nil {
		return err
	}
	_, err := p.wait(exitLimit)
	return err
}

// wait returns the exit code, -1 after a signal.
func (p *process) wait(limit time.Duration) (int, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-t.C:
		return 0, fmt.Errorf("%s did not exit within %s", p.name, limit)
	}
}

// stop ends the process at the end of a scenario.
func (p *process) stop() {
	if p.cmd == nil {
		return
	}
	// It may have ended already.
	_ = p.signal(os.Kill)
	_, _ = p.wait(exitLimit)
}

// processState returns the kernel's letter for the state of a process.
func processState(pid int) (string, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", err
	}
	_, after, _ := strings.Cut(string(data), ") ")
	state, _, _ := strings.Cut(after, " ")
	return state, nil
}
