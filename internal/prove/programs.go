package prove

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cassialoom/cassialoom/internal/rig"
)

// module is the path of this module: commands are built by import path,
// whatever the working directory of the test.
const module = "github.com/cassialoom/cassialoom"

// Build builds the node, backend server, log and operators' programs into the
// folder.
func Build(ctx context.Context, folder string) error {
	args := []string{"build", "-o", folder + string(filepath.Separator)}
	for _, name := range []string{rig.NodeProgram, rig.BackendProgram, rig.LogProgram, rig.OperatorsProgram} {
		args = append(args, module+"/cmd/"+name)
	}
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}
