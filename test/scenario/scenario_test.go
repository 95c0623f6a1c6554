package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the directory that contains the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runWithPrograms(m.Run))
}

// runWithPrograms builds the programs under test, calls run and removes the programs.
func runWithPrograms(run func() int) int {
	dir, err := os.MkdirTemp("", "primrose")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries = dir
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("PRIMROSE_RACE") != "" {
		args = append(args, "-race")
	}
	for _, name := range []string{"primrose-entry", "primrose-agent", "primrosectl", "primrose-standin"} {
		args = append(args, "primrosecourse/cmd/"+name)
	}
	cmd := exec.Command("go", args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		panic(err)
	}
	return run()
}

// TestScenarios runs every script. Each script starts its own processes.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 filepath.Join("testdata", "scripts"),
		RequireExplicitExec: true,
		Cmds:                commands,
	})
}
