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

// loadWeights returns when the weights of an order are loaded, from the weight store if there is one.
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
	path := fmt.Sprintf("http://%s/weights/%s/%s", e.settings.Weights, url.PathEscape(o.Model), url.PathEscape(o.Version))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
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
