package main

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/script"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sycamorerampd": main})
}

// TestScripts runs the scripts with a platform that has no backend servers.
// $PLATFORM is the platform's address, $HOST a loopback IP number that no other
// test process uses.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: golden.Updating(),
		Setup: func(env *testscript.Env) error {
			platform := httptest.NewServer(standin.NewCluster(1).Handler())
			env.Setenv("PLATFORM", platform.Listener.Addr().String())
			env.Setenv("HOST", host())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": script.Exits, "await": awaitListener, "listen": occupyAddress, "subst": expandVariables,
		},
	})
}

// host returns a loopback IP number derived from the process id, so that test
// processes that run at the same time do not take each other's ports.
func host() string { return fmt.Sprintf("127.78.%d.%d", os.Getpid()/256%256, os.Getpid()%256) }

// expandVariables replaces $HOST and $PLATFORM in a file: subst FILE.
func expandVariables(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// occupyAddress listens on an address until the script ends: listen ADDRESS.
func occupyAddress(ts *testscript.TestScript, _ bool, args []string) {
	listener, err := net.Listen("tcp", args[0])
	ts.Check(err)
	ts.Defer(func() { _ = listener.Close() })
}

// awaitListener waits until a process accepts connections on an address: await
// ADDRESS.
func awaitListener(ts *testscript.TestScript, _ bool, args []string) {
	for range 400 {
		connection, err := net.Dial("tcp", args[0])
		if err == nil {
			_ = connection.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("no process accepts connections on %s", args[0])
}
