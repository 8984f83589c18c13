package daemon

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// platformConstants maps the names of the constants of platform_config.go to their
// values.
var platformConstants = map[string]any{
	"memoryShare": memoryShare, "bodyShare": bodyShare, "largeAnswersShare": largeAnswersShare, "waitMax": waitMax, "waitShare": waitShare, "waitMin": waitMin,
	"soonerShare": soonerShare, "levelQueue": levelQueue, "levelSettle": levelSettle, "keptIdle": keptIdle, "reroutes": reroutes,
	"enterGrace": enterGrace, "stopShare": stopShare, "slowStart": slowStart, "joinInterval": joinInterval,
	"joinAddrs": joinAddrs, "reconnectInterval": reconnectInterval, "reoffers": reoffers, "drainAfter": drainAfter,
	"drainGrace": drainGrace, "noticeWait": noticeWait, "budgetNodes": budgetNodes, "budgetShare": budgetShare,
	"revokeShare": revokeShare, "applyShare": applyShare, "proofReads": proofReads, "readShare": readShare,
}

// Guards against documentation that lacks a constant of platform_config.go or shows
// an outdated value.
func TestDocsListEveryConstant(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/PLATFORM.md")
	is.NoErr(err)
	source, err := parser.ParseFile(token.NewFileSet(), "platform_config.go", nil, 0)
	is.NoErr(err)
	found := 0
	ast.Inspect(source, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for _, name := range spec.Names {
			value, known := platformConstants[name.Name]
			if !known {
				t.Errorf("%s is not in platformConstants", name.Name)
				continue
			}
			found++
			if row := fmt.Sprintf("| `%s` | %v |", name.Name, value); !strings.Contains(string(page), row) {
				t.Errorf("docs/PLATFORM.md has no row that begins %s", row)
			}
		}
		return true
	})
	is.Equal(found, len(platformConstants))
}
