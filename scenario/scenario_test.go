// Package scenario_test runs scripted scenarios against real processes of the
// wagtaildyke binary on loopback: several VMs, stand-ins for backend servers,
// and links between the VMs that can be cut and healed.
package scenario_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxParallel bounds the scenarios that run at once.
const maxParallel = 3

// binary is the path of the command under test.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wagtaildyke-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "wagtaildyke")
	build := exec.Command("go", "build", "-o", binary, "github.com/wagtaildyke/wagtaildyke/cmd/wagtaildyke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	places := make(chan struct{}, maxParallel)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		Cmds:                commands,
		Setup: func(env *testscript.Env) error {
			places <- struct{}{}
			c := newCluster(env.WorkDir)
			env.Values[clusterKey{}] = c
			env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+env.Getenv("PATH"))
			if err := copyTable(env.WorkDir); err != nil {
				return err
			}
			env.Defer(func() {
				c.close()
				<-places
			})
			return nil
		},
	})
}

// copyTable gives each scenario the table of classes.
func copyTable(dir string) error {
	data, err := os.ReadFile(filepath.Join("testdata", "table.csv"))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "table.csv"), data, 0o600)
}

type clusterKey struct{}

func clusterOf(ts *testscript.TestScript) *cluster { return ts.Value(clusterKey{}).(*cluster) }

type command = func(ts *testscript.TestScript, neg bool, args []string)

// commands are the words of the scenario language beside those of testscript.
var commands = map[string]command{
	"cluster":  cmdCluster,
	"engine":   cmdEngine,
	"service":  cmdService,
	"fault":    cmdFault,
	"crash":    onProcess(func(p *process) error { return p.kill() }),
	"pause":    onProcess(func(p *process) error { return p.pause() }),
	"resume":   onProcess(func(p *process) error { return p.resume() }),
	"restart":  cmdRestart,
	"term":     onProcess(func(p *process) error { return p.term() }),
	"exited":   cmdExited,
	"losedisk": cmdLoseDisk,
	"cut":      cmdCut,
	"heal":     cmdHeal,
	"isolate":  cmdIsolate,
	"leader":   cmdLeader,
	"table":    cmdTable,
	"race":     cmdRace,
	"call":     cmdCall,
	"start":    cmdStart,
	"join":     cmdJoin,
	"abort":    cmdAbort,
	"want":     cmdWant,
	"show":     cmdShow,
	"await":    cmdAwait,
	"check":    cmdCheck,
	"load":     cmdLoad,
	"openai":   cmdOpenAI,
}

// fail ends the script with the tails of the processes' logs.
func fail(ts *testscript.TestScript, err error) {
	if err == nil {
		return
	}
	ts.Logf("%s", clusterOf(ts).tails())
	ts.Fatalf("%v", err)
}

// need ends the script when a command has too few arguments or is negated.
func need(ts *testscript.TestScript, neg bool, args []string, n int, usage string) {
	if neg || len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}
