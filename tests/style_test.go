package tests

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"unicode"
)

// TestStyle checks naming conventions that the linter does not check, also in test files: a receiver is named after its type
// in lower case, and a local that holds a new value of a named type is not a single letter.
func TestStyle(t *testing.T) {
	files := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if function, ok := node.(*ast.FuncDecl); ok && function.Recv != nil {
				checkReceiver(t, files, function)
			}
			if assignment, ok := node.(*ast.AssignStmt); ok && assignment.Tok == token.DEFINE {
				checkLocals(t, files, assignment)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkReceiver(t *testing.T, files *token.FileSet, function *ast.FuncDecl) {
	t.Helper()
	receiver := function.Recv.List[0]
	if len(receiver.Names) == 0 {
		return
	}
	wanted := lowerFirstWord(typeName(receiver.Type))
	if name := receiver.Names[0].Name; name != wanted {
		t.Errorf("%s: receiver %s: name it %s", files.Position(function.Pos()), name, wanted)
	}
}

// checkLocals reports one-letter names of locals that hold a new value of a named type.
func checkLocals(t *testing.T, files *token.FileSet, assignment *ast.AssignStmt) {
	t.Helper()
	for i, left := range assignment.Lhs {
		name, ok := left.(*ast.Ident)
		if !ok || i >= len(assignment.Rhs) || len(name.Name) > 1 || name.Name == "_" {
			continue
		}
		value := assignment.Rhs[i]
		if address, ok := value.(*ast.UnaryExpr); ok && address.Op == token.AND {
			value = address.X
		}
		if literal, ok := value.(*ast.CompositeLit); ok && typeName(literal.Type) != "" {
			t.Errorf("%s: local %s holds a %s: name it after its type", files.Position(name.Pos()), name.Name, typeName(literal.Type))
		}
	}
}

func typeName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return typeName(expression.X)
	case *ast.Ident:
		return expression.Name
	case *ast.IndexExpr:
		return typeName(expression.X)
	case *ast.IndexListExpr:
		return typeName(expression.X)
	case *ast.SelectorExpr:
		return expression.Sel.Name
	}
	return ""
}

// lowerFirstWord returns the name with its first word or leading initialism in lower case.
func lowerFirstWord(name string) string {
	runes := []rune(name)
	for i := range runes {
		if i > 0 && i+1 < len(runes) && unicode.IsLower(runes[i+1]) {
			break
		}
		runes[i] = unicode.ToLower(runes[i])
		if i+1 < len(runes) && unicode.IsLower(runes[i+1]) {
			break
		}
	}
	return string(runes)
}
