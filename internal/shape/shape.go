// Package shape checks the rules for internal/core that the linter can't express:
// no goroutines, channels or select statements.
package shape

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
)

// Violation is one forbidden construct.
type Violation struct {
	Position token.Position
	What     string
}

// String formats the violation as file:line: what.
func (v Violation) String() string {
	return fmt.Sprintf("%s:%d: %s", v.Position.Filename, v.Position.Line, v.What)
}

// Check parses all Go files below root except tests and returns the forbidden
// constructs.
func Check(root string) ([]Violation, error) {
	var violations []Violation
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		found, err := checkFile(path)
		violations = append(violations, found...)
		return err
	})
	return violations, err
}

func checkFile(path string) ([]Violation, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		return nil, err
	}
	var violations []Violation
	ast.Inspect(file, func(node ast.Node) bool {
		if what := forbidden(node); what != "" {
			violations = append(violations, Violation{Position: files.Position(node.Pos()), What: what})
		}
		return true
	})
	return violations, nil
}

func forbidden(node ast.Node) string {
	switch node.(type) {
	case *ast.GoStmt:
		return "the core starts no goroutine"
	case *ast.ChanType, *ast.SendStmt:
		return "the core uses no channel"
	case *ast.SelectStmt:
		return "the core does not select"
	default:
		return ""
	}
}
