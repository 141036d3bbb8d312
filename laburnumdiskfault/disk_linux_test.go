package laburnumdiskfault_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"laburnumlever/laburnumdiskfault"

	"github.com/stretchr/testify/require"
)

const (
	// roleVariable selects what the test binary does when a test starts it again.
	roleVariable = "DISK_FAULT_ROLE"
	folderVar    = "DISK_FAULT_FOLDER"
	text         = "twelve bytes"
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "launch":
		_ = os.Setenv(roleVariable, "write")
		fmt.Println(laburnumdiskfault.Launch(os.Args[0], os.Args))
		os.Exit(1)
	case "write":
		write(os.Getenv(folderVar))
	default:
		os.Exit(m.Run())
	}
}

// write appends to a file and syncs it for each line of its input, and prints both results.
func write(folder string) {
	file, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		n, writeErr := file.WriteString(text)
		syncErr := file.Sync()
		fmt.Println(n, errors.Unwrap(writeErr), errors.Unwrap(syncErr))
	}
}

// writer is a process that runs write on a disk.
type writer struct {
	disk  *laburnumdiskfault.Disk
	path  string
	in    io.Writer
	lines chan string
}

func newWriter(t *testing.T) *writer {
	t.Helper()
	folder := t.TempDir()
	w := &writer{disk: laburnumdiskfault.New(folder), path: filepath.Join(folder, "log"), lines: make(chan string)}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"=launch", folderVar+"="+folder)
	var err error
	w.in, err = cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	err = w.disk.Start(cmd)
	var unavailable *laburnumdiskfault.UnavailableError
	if errors.As(err, &unavailable) {
		t.Skip(err) // the kernel of this machine doesn't support it
	}
	require.NoError(t, err)
	go func() {
		defer close(w.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			w.lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		w.disk.Set(laburnumdiskfault.State{})
		_ = cmd.Process.Kill()
		for range w.lines { // until it has exited
		}
		_ = cmd.Wait()
	})
	return w
}

func (w *writer) ask(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(w.in, "\n")
	require.NoError(t, err)
}

func (w *writer) write(t *testing.T) string {
	t.Helper()
	w.ask(t)
	return <-w.lines
}

func (w *writer) size(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(w.path)
	require.NoError(t, err)
	return len(data)
}

func TestSyncsAndWritesFail(t *testing.T) {
	w := newWriter(t)
	require.Equal(t, "12 <nil> <nil>", w.write(t))
	w.disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Failing})
	require.Equal(t, "12 <nil> input/output error", w.write(t))
	require.Equal(t, 2*len(text), w.size(t))
	w.disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Full})
	require.Equal(t, "11 no space left on device <nil>", w.write(t), "6, 3, 1 and 1 of 12 bytes")
	require.Equal(t, 2*len(text)+11, w.size(t))
	w.disk.Set(laburnumdiskfault.State{})
	require.Equal(t, "12 <nil> <nil>", w.write(t))
}

func TestStalledDiskAnswersOnceItIsBack(t *testing.T) {
	w := newWriter(t)
	w.disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Stalled})
	w.ask(t)
	select {
	case line := <-w.lines:
		require.Fail(t, "a write came back from a stalled disk", line)
	case <-time.After(50 * time.Millisecond):
	}
	w.disk.Set(laburnumdiskfault.State{})
	require.Equal(t, "12 <nil> <nil>", <-w.lines)
}

func TestSlowDiskDelaysSyncs(t *testing.T) {
	w := newWriter(t)
	const delay = 100 * time.Millisecond
	w.disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Slow, Delay: delay})
	start := time.Now()
	require.Equal(t, "12 <nil> <nil>", w.write(t))
	require.GreaterOrEqual(t, time.Since(start), delay)
}

func TestProgramOnAStalledDiskCanBeKilled(t *testing.T) {
	w := newWriter(t)
	w.disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Stalled})
	w.ask(t)
}
