package gateway

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	placeholder = regexp.MustCompile(`{{([^{}]*)}}`)
	conditional = regexp.MustCompile(`{{#[^{}]*}}(.*?){{/[^{}]*}}`)
)

// readFile returns a file of the repository.
func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// filledByReview returns the placeholders that the stand-in of the review's scripts fills.
func filledByReview(t *testing.T) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "main.go", readFile(t, "review/standin/main.go"), 0)
	if err != nil {
		t.Fatal(err)
	}
	filled := map[string]bool{}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Name.Name != "newGateway" {
			continue
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if entry, ok := n.(*ast.KeyValueExpr); ok {
				if key, ok := entry.Key.(*ast.BasicLit); ok && key.Kind == token.STRING {
					name, _ := strconv.Unquote(key.Value)
					filled[name] = true
				}
			}
			return true
		})
	}
	return filled
}

// fill fills in a template; empty is the value of the placeholders that it does not know.
func fill(template, empty string) string {
	values := map[string]string{"node_name": "edge-a-1", "ip": "10.1.0.19", "zone": "a", "listen.front": "10.1.0.19:8749", "listen.ready": "10.1.0.19:8741",
		"internal_ports.0": "7580", "internal_ports.1": "7595", "provider.address": "10.200.1.7:8744", "limits.memory_mb": "284",
		"limits.max_fds": "4100", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra": "58", "bounds.budget_window_s": "10",
		"bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.thaw_ms": "300", "bounds.version_ms": "10000"}
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		if value, ok := values[strings.Trim(p, "{}")]; ok {
			return value
		}
		return empty
	})
}

// TestReviewFillsTemplate guards against a placeholder in deploy/settings.ini that the review's stand-in does not fill, which keeps all of its
// scripts from running.
func TestReviewFillsTemplate(t *testing.T) {
	is := is.New(t)
	template, filled := readFile(t, "deploy/settings.ini"), filledByReview(t)
	is.True(len(filled) >= 17) // the placeholders were found in the source of the stand-in
	for _, p := range placeholder.FindAllStringSubmatch(template, -1) {
		if !filled[p[1]] {
			t.Errorf("the review's stand-in does not fill {{%s}}", p[1])
		}
	}
	rest := placeholder.ReplaceAllString(template, "")
	is.True(!strings.Contains(rest, "{{")) // the stand-in refuses such a template
	_, err := readText(t, fill(template, ""))
	is.NoErr(err)
}

// TestTemplateOfDeployment guards against a template of the deployment that differs from the one that the review's scripts use in other
// settings than those that only some sites state.
func TestTemplateOfDeployment(t *testing.T) {
	is := is.New(t)
	is.True(strings.Contains(readFile(t, "deploy/system.toml"), "\ntemplate = \"deploy/gateway.ini\"\n"))
	common, template := readFile(t, "deploy/settings.ini"), readFile(t, "deploy/gateway.ini")
	is.True(strings.HasPrefix(template, common))
	want, err := readText(t, fill(common, ""))
	is.NoErr(err)
	got, err := readText(t, fill(conditional.ReplaceAllString(template, ""), "base,drain"))
	is.NoErr(err)
	is.Equal(got.Contracts, []string{"base", "drain"})
	got.Contracts = want.Contracts
	is.Equal(got, want) // a site that states none of the further settings
	got, err = readText(t, strings.Replace(fill(conditional.ReplaceAllString(template, "$1"), "0.05"), "Contracts = 0.05", "Contracts =", 1))
	is.NoErr(err)
	is.Equal(got.ExposeShare, 0.05)
	is.Equal(got.ExposeSlack, 0.05)
	is.True(got.RollbackTime > 0 && got.RollbackTime != want.RollbackTime)
}
