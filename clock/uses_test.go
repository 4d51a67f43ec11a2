package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// leasePackages are the packages in which leases, timeouts and similar decisions depend on
// elapsed time.
var leasePackages = []string{"directory", "ingress", "inner", "membership", "node", "owner", "schedule"}

// TestUses checks that the leasePackages read this package's clock and not that of package
// time. Calls that set the deadline of a connection are excepted, because the operating system
// measures that deadline on its own clock.
func TestUses(t *testing.T) {
	for _, dir := range leasePackages {
		files, err := filepath.Glob("../" + dir + "/*.go")
		if err != nil || len(files) == 0 {
			t.Fatal(dir, err)
		}
		for _, path := range files {
			if !strings.HasSuffix(path, "_test.go") {
				checkFile(t, path)
			}
		}
	}
}

func checkFile(t *testing.T, path string) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if s, ok := call.Fun.(*ast.SelectorExpr); ok && strings.HasSuffix(s.Sel.Name, "Deadline") {
			return false
		}
		if name := clockFunction(call); name != "" {
			t.Errorf("%s: time.%s does not include suspended time", fset.Position(call.Pos()), name)
		}
		return true
	})
}

// clockFunction returns the name of the called function if the call is of a function of
// package time that reads the clock, and "" otherwise.
func clockFunction(call *ast.CallExpr) string {
	s, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	pkg, ok := s.X.(*ast.Ident)
	if !ok || pkg.Name != "time" {
		return ""
	}
	switch s.Sel.Name {
	case "Now", "Since", "Until":
		return s.Sel.Name
	default:
		return ""
	}
}
