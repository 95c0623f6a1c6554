package prefix

import (
	"testing"

	"github.com/matryer/is"

	"primrosecourse/pkg/token"
)

// TestChainSeparatesScopes guards against equal identities for blocks of different organisations, weight versions or
// prompts.
func TestChainSeparatesScopes(t *testing.T) {
	prompt := token.Encode("the first block and the second")
	base := Chain("Org1", "v1", prompt, 10)
	for _, test := range []struct {
		name         string
		organisation string
		version      string
		prompt       []uint32
	}{
		{"organisation", "Org2", "v1", prompt},
		{"version", "Org1", "v2", prompt},
		{"boundary of the two names", "Org1v", "1", prompt},
		{"first token", "Org1", "v1", append(token.Encode("T"), prompt[1:]...)},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			other := Chain(test.organisation, test.version, test.prompt, 10)
			is.Equal(len(other), len(base))
			for i := range other {
				is.True(other[i] != base[i])
			}
		})
	}
}

// TestChainOfGrownPrompt guards against a prompt that has grown and no longer shares block identities with its earlier form.
func TestChainOfGrownPrompt(t *testing.T) {
	is := is.New(t)
	short := Chain("Org1", "v1", token.Encode("0123456789abc"), 5)
	long := Chain("Org1", "v1", token.Encode("0123456789abcdefghi"), 5)
	is.Equal(len(short), 2)
	is.Equal(len(long), 3)
	is.Equal(long[:2], short)
	is.Equal(len(Chain("Org1", "v1", nil, 5)), 0)
}

func BenchmarkChain(b *testing.B) {
	prompt := make([]uint32, 32<<10)
	b.SetBytes(int64(4 * len(prompt)))
	b.ReportAllocs()
	for range b.N {
		Chain("Org1", "v1", prompt, 1024)
	}
}
