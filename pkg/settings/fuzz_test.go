package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse guards against input that crashes the parser, problems without file and line, and a parsed deployment that
// does not pass Check or that changes in a round trip through canonical JSON or INI.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalConfig), []byte("[Limits]\nMaxTokens = 20\n"))
	f.Add([]byte(minimalConfig), []byte("[Endpoint \"Model1\"]\nState = Leaving ; later\n[Endpoint \"Model1\"]\n"))
	f.Add([]byte("\xef\xbb\xbf[Site]\r\nName = 'a]'\r\n"), []byte("Key = %(Name)s\\\n[Policy] # x]\nCandidates = \"4\"\n"))
	files, _ := filepath.Glob("../../examples/*/*.ini")
	for _, file := range files {
		if content, err := os.ReadFile(file); err == nil {
			f.Add(content, []byte(nil))
		}
	}
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		d, err := Parse(Source{File: "base.ini", Content: base}, Source{File: "site.ini", Content: overlay})
		if err != nil {
			var problems Problems
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("the error is not a list of problems: %v", err)
			}
			for _, p := range problems {
				if p.File == "" || p.Line < 1 || p.Text == "" || p.Allowed == "" {
					t.Fatalf("incomplete problem: %#v", p)
				}
			}
			return
		}
		if err := Check(d); err != nil {
			t.Fatalf("parsed deployment fails Check: %v", err)
		}
		content, err := Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(content)
		if err != nil {
			t.Fatal(err)
		}
		if diff := Diff(d, back); len(diff) > 0 {
			t.Fatalf("changed by the JSON round trip: %v", diff)
		}
		again, err := Parse(Source{File: "base.ini", Content: Format(d)})
		if diff := Diff(d, again); err != nil || len(diff) > 0 {
			t.Fatalf("changed by Format and Parse: %v, error %v", diff, err)
		}
	})
}

// TestLineIndexMatchesLibrary guards against lines in which the line index finds a key and the INI library another key or
// none.
func TestLineIndexMatchesLibrary(t *testing.T) {
	for _, line := range []string{
		`Name = a # b`, `Name = a;b`, `Name = "a # b"`, `Name = 'a`, `Name = a\`, `Name=%(Other)s`, "Name =\ta\t# b", `Name = "a"b"`,
	} {
		m := merge([]Source{{File: "base.ini", Content: []byte("[Site]\n" + line + "\n[Policy]\n")}})
		if _, ok := m.values[keyID{sectionID{kind: "Site"}, "Name"}]; !ok || len(m.problems) > 0 || len(m.order) != 2 {
			t.Errorf("%q: values %v, problems %v", line, m.values, m.problems)
		}
	}
}

// FuzzDecodeAccepted guards against a stored value that crashes the processes that decode it, or that changes when it is
// encoded again.
func FuzzDecodeAccepted(f *testing.F) {
	content, err := Accepted{Operator: "ada", Deployment: sizedDeployment(2)}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte(`{"Operator":"","At":"2026-12-04T06:00:00+14:00","Deployment":{"FailureDomains":[{"Name":"A","State":"Leaving"}]}}`))
	f.Add([]byte("\x1f\x8b\x08"))
	f.Add([]byte(`{"Operator":"","At":"9999-12-31T23:59:59-14:00","Deployment":{}}`))
	f.Add([]byte(`{"Operator":"","Deployment":{"FailureDomains":[{"Name":"A","ReturnedAt":"0000-01-01T00:00:00+14:00"}]}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		a, err := DecodeAccepted(content)
		if err != nil {
			return
		}
		_ = Check(a.Deployment)
		again, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		b, err := DecodeAccepted(again)
		if err != nil {
			t.Fatal(err)
		}
		if diff := Diff(a.Deployment, b.Deployment); len(diff) > 0 || a.Operator != b.Operator || !a.At.Equal(b.At) {
			t.Fatalf("changed by the JSON round trip: %v", diff)
		}
	})
}
