package kvstore

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	store "primrosecourse/internal/process/kvstore"
)

// start serves the store and returns a client of it.
func start(t *testing.T, s *Store) *store.Client {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	c := store.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	t.Cleanup(func() { c.Close(); server.Close() })
	return c
}

func block(id string, size int) store.Block {
	return store.Block{ID: id, Organisation: "Org1", Version: "v1", Bytes: []byte(strings.Repeat("x", size))}
}

// TestGetChecksOrganisationAndVersion guards against an engine receiving a block of another organisation or weight
// version.
func TestGetChecksOrganisationAndVersion(t *testing.T) {
	is := is.New(t)
	c := start(t, New())
	ctx := context.Background()
	is.NoErr(c.Put(ctx, block("a", 10)))
	for _, tc := range []struct {
		name, id, organisation, version string
		want                            error
	}{
		{"same organisation and version", "a", "Org1", "v1", nil},
		{"other organisation", "a", "Org2", "v1", store.ErrMismatch},
		{"other version", "a", "Org1", "v2", store.ErrMismatch},
		{"missing", "b", "Org1", "v1", store.ErrNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := c.Get(ctx, tc.id, tc.organisation, tc.version)
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// TestDamagedBlockIsNotStored guards against a partially transferred block becoming readable.
func TestDamagedBlockIsNotStored(t *testing.T) {
	is := is.New(t)
	s := New()
	rec := httptest.NewRecorder()
	req := httptest.NewRequest("PUT", "/blocks/a", strings.NewReader("half"))
	req.Header.Set(store.HeaderChecksum, store.Checksum([]byte("half and the rest")))
	s.Handler().ServeHTTP(rec, req)
	is.Equal(rec.Code, 400)
	_, ok := s.get("a")
	is.True(!ok)
}

// TestFullStoreKeepsBlocks guards against a full store evicting blocks that clients may be reading.
func TestFullStoreKeepsBlocks(t *testing.T) {
	is := is.New(t)
	s := New()
	s.MemoryBytes, s.DiskBytes = 100, 100
	c := start(t, s)
	ctx := context.Background()
	is.NoErr(c.Put(ctx, block("a", 60)))
	is.NoErr(c.Put(ctx, block("b", 60)))
	is.True(errors.Is(c.Put(ctx, block("c", 90)), store.ErrFull))
	found, err := c.Lookup(ctx, []string{"a", "b", "c"})
	is.NoErr(err)
	is.Equal(found, []store.Present{{ID: "a", Bytes: 60, Tier: "Disk"}, {ID: "b", Bytes: 60, Tier: "Memory"}})
	status, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(status.BytesUsed, int64(120))
	is.NoErr(c.Delete(ctx, "a"))
	is.NoErr(c.Put(ctx, block("c", 90)))
	is.Equal(s.TransferredBytes(), int64(60+60+90+90))
}
