package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"laburnumlever/laburnumfleet"
)

const (
	// awaitTimeout only ends a script that hangs, no passing script depends on it; it is
	// generous to allow for a busy machine.
	awaitTimeout  = 60 * time.Second
	awaitInterval = 50 * time.Millisecond
)

// scriptCommands returns the commands that sessions have in addition to testscript's own:
//
//	ports NAME...            sets each variable to a free address on loopback
//	loopback NAME            sets the variable to the first three octets of a loopback
//	                         network for this session
//	expand FILE...           replaces $NAME in the files
//	start NAME ARGS...       runs laburnumlever ARGS and waits for its ready line, whose
//	                         key=value pairs become the variables NAME_key
//	end NAME SIGNAL          sends KILL, TERM, STOP or CONT; KILL and TERM wait for the exit
//	stuck NAME               stops reading the output of the process until end NAME
//	exited NAME CODE         waits for the exit and checks the exit code
//	await PATTERN PROG ARGS  repeats a program until its output matches
//	rewrite FILE             prints the file with addresses, ids and times replaced
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"ports": scriptPorts, "loopback": scriptLoopback, "expand": scriptExpand, "start": scriptStart,
		"end": scriptEnd, "stuck": scriptStuck, "exited": scriptExited, "await": scriptAwait, "rewrite": scriptRewrite,
	}
}

func scriptPorts(ts *testscript.TestScript, _ bool, args []string) {
	addresses, err := laburnumfleet.ReservePorts(context.Background(), len(args))
	ts.Check(err)
	for i, name := range args {
		ts.Setenv(name, addresses[i])
	}
}

// scriptLoopback selects a random network, since the VMs of a platform have the same ports and
// differ by IP address only. Two concurrent sessions collide once in 60,000 times.
func scriptLoopback(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)))
}

func scriptExpand(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// processKey is the key of the script's processes in its values.
type processKey struct{}

// processes are the processes that a script has started.
type processes struct {
	byName map[string]*process
	common string // the folder of files that sessions share
	vms    []*vm
	// aliases maps further prefixes of variables to the names of processes.
	aliases map[string]string
}

type process struct {
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	once  sync.Once
	// resume, if set, blocks follow until it is closed.
	resume atomic.Pointer[chan struct{}]
}

func scriptSetup(env *testscript.Env) error {
	common, err := filepath.Abs("testdata/common")
	if err != nil {
		return err
	}
	all := &processes{byName: make(map[string]*process), common: common, aliases: make(map[string]string)}
	env.Values[processKey{}] = all
	env.Defer(func() {
		for _, p := range all.byName {
			p.resumeReading()
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.ended
		}
	})
	return nil
}

func processesOf(ts *testscript.TestScript) map[string]*process {
	return ts.Value(processKey{}).(*processes).byName
}

func scriptStart(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	program, err := exec.LookPath("laburnumlever")
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	p := &process{cmd: exec.Command(program, args[1:]...), log: log, ended: make(chan struct{})}
	p.cmd.Dir = ts.MkAbs(".")
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(p.cmd.Start())
	processesOf(ts)[name] = p
	ready := make(chan string, 1)
	go p.follow(bufio.NewScanner(out), ready)
	select {
	case line := <-ready:
		for _, pair := range strings.Fields(line) {
			if key, value, found := strings.Cut(pair, "="); found {
				ts.Setenv(name+"_"+key, value)
			}
		}
		for prefix, alias := range ts.Value(processKey{}).(*processes).aliases {
			if alias == name {
				setAlias(ts, prefix, name)
			}
		}
	case <-p.ended:
		ts.Fatalf("%s ended before it was ready:\n%s", name, ts.ReadFile(name+".log"))
	case <-time.After(awaitTimeout):
		ts.Fatalf("%s is not ready:\n%s", name, ts.ReadFile(name+".log"))
	}
}

// follow copies the output to the log, sends the ready line to ready and waits for the exit.
func (p *process) follow(lines *bufio.Scanner, ready chan<- string) {
	defer close(p.ended)
	for lines.Scan() {
		if read := p.resume.Load(); read != nil {
			<-*read
		}
		_, _ = p.log.WriteString(lines.Text() + "\n")
		if strings.HasPrefix(lines.Text(), "ready ") || strings.Contains(lines.Text(), `"event":"started"`) {
			p.once.Do(func() { ready <- lines.Text() })
		}
	}
	_ = p.cmd.Wait()
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// scriptStuck simulates a reader of the output that hangs, as a log shipper with a full disk does.
func scriptStuck(ts *testscript.TestScript, _ bool, args []string) {
	read := make(chan struct{})
	processesOf(ts)[args[0]].resume.Store(&read)
}

// resumeReading undoes scriptStuck.
func (p *process) resumeReading() {
	if read := p.resume.Swap(nil); read != nil {
		close(*read)
	}
}

func scriptEnd(ts *testscript.TestScript, _ bool, args []string) {
	p, sig := processesOf(ts)[args[0]], signals[args[1]]
	p.resumeReading()
	ts.Check(p.cmd.Process.Signal(sig))
	if sig != syscall.SIGKILL && sig != syscall.SIGTERM {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(awaitTimeout):
		ts.Fatalf("%s did not end:\n%s", args[0], ts.ReadFile(args[0]+".log"))
	}
}

func scriptExited(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)[args[0]]
	<-p.ended
	if got := p.cmd.ProcessState.String(); got != "exit status "+args[1] {
		ts.Fatalf("%s: %s, want exit status %s:\n%s", args[0], got, args[1], ts.ReadFile(args[0]+".log"))
	}
}

func scriptAwait(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile("(?m)" + args[0])
	program, err := exec.LookPath(args[1])
	ts.Check(err)
	var out []byte
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		cmd := exec.Command(program, args[2:]...)
		cmd.Dir = ts.MkAbs(".")
		out, _ = cmd.CombinedOutput()
		if pattern.Match(out) {
			ts.Check(os.WriteFile(ts.MkAbs("awaited"), out, 0o600))
			return
		}
	}
	ts.Fatalf("no output of %s matched %q; the last was:\n%s", strings.Join(args[1:], " "), args[0], out)
}

// rewrites replace the values that differ from run to run, and only those.
var rewrites = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`cmpl-[0-9a-f-]+`), "COMPLETION"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)`), "TIME"},
}

func scriptRewrite(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	for _, rule := range rewrites {
		text = rule.pattern.ReplaceAllString(text, rule.name)
	}
	ts.Check(os.WriteFile(ts.MkAbs("rewritten"), []byte(text), 0o600))
	_, err := ts.Stdout().Write([]byte(text))
	ts.Check(err)
}
