package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/engine"
)

// loadWeights simulates the load of an order's weights: it waits for the response of the weight store, or for LoadTime
// if no store is set.
func (e *Engine) loadWeights(ctx context.Context, o engine.Order) (err error) {
	defer func() { err = errors.Wrap(err, "load weights") }()
	if !e.settings.Weights.IsValid() {
		select {
		case <-time.After(e.settings.LoadTime):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	address := fmt.Sprintf("http://%s/weights/%s/%s", e.settings.Weights, url.PathEscape(o.Model), url.PathEscape(o.Version))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("weight store answered %s", resp.Status)
	}
	return nil
}
