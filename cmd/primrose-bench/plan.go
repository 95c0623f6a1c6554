package main

import (
	"fmt"
	"path/filepath"
	"time"

	"primrosecourse/pkg/settings"
)

// plan contains the planned rates of a deployment. The package comment gives the rules behind them.
type plan struct {
	Site                          string
	LongModel, ShortModel         string
	LongPerSecond, ShortPerSecond float64
	LargeStories, SmallStories    int
	// Turns is the mean number of prompts of a conversation.
	Turns float64
	// History is the time before the run in which conversations may have started. Its default equals the longest interval
	// between two prompts of a conversation.
	History, WarmUp, Measured time.Duration
	// EngineBlocks and StoreBlocks are the cache capacities, in blocks.
	EngineBlocks, StoreBlocks int

	blockTokens int
	deployment  settings.Deployment
}

func plans() []plan {
	common := plan{Turns: 8, History: 72 * time.Hour, WarmUp: 4 * time.Hour, Measured: 2 * time.Hour, EngineBlocks: 1024,
		StoreBlocks: 16384, blockTokens: 1024}
	k, l := common, common
	k.Site, k.LongModel, k.ShortModel = "kleinkloof", "Notes", "Titles"
	k.LongPerSecond, k.ShortPerSecond, k.LargeStories, k.SmallStories = 5, 10, 32, 7
	l.Site, l.LongModel, l.ShortModel = "lakeshore", "Cards", "Captions"
	l.LongPerSecond, l.ShortPerSecond, l.LargeStories, l.SmallStories = 4, 8, 24, 6
	return []plan{k, l}
}

// load reads the deployment of the plan from the examples directory.
func (p *plan) load(examples string) (err error) {
	dir := filepath.Join(examples, p.Site)
	p.deployment, err = settings.Load(filepath.Join(dir, "base.ini"), filepath.Join(dir, "site.ini"))
	if err != nil {
		return fmt.Errorf("examples of %s: %w", p.Site, err)
	}
	return nil
}
