//go:build knownred

package scenario

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestKnownRed runs the scripts that KNOWN-RED.txt lists.
func TestKnownRed(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 filepath.Join("testdata", "knownred"),
		RequireExplicitExec: true,
		Cmds:                commands,
	})
}
