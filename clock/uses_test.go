package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// deciding are the packages that grant, hold or doubt something for a time.
var deciding = []string{"directory", "ingress", "inner", "membership", "node", "owner", "schedule"}

// TestUses: packages that decide ask this package for the time. Deadlines of connections are
// the exception: the system takes them on its own clock.
func TestUses(t *testing.T) {
	for _, dir := range deciding {
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
		call, is := n.(*ast.CallExpr)
		if !is {
			return true
		}
		if s, is := call.Fun.(*ast.SelectorExpr); is && strings.HasSuffix(s.Sel.Name, "Deadline") {
			return false
		}
		if name := calledTime(call); name != "" {
			t.Errorf("%s: time.%s does not count suspended time", fset.Position(call.Pos()), name)
		}
		return true
	})
}

// calledTime returns which function of package time that reads a clock a call is of, or "".
func calledTime(call *ast.CallExpr) string {
	s, is := call.Fun.(*ast.SelectorExpr)
	if !is {
		return ""
	}
	pkg, is := s.X.(*ast.Ident)
	if !is || pkg.Name != "time" {
		return ""
	}
	switch s.Sel.Name {
	case "Now", "Since", "Until":
		return s.Sel.Name
	default:
		return ""
	}
}
