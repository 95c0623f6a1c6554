package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"

	"primrosecourse/internal/standin/engine"
)

// engineSettings contains the values of the flags -Engine..., which apply with -Kind engine.
var engineSettings engine.Settings

func init() {
	s := &engineSettings
	flag.StringVar(&s.Model, "EngineModel", "", "engine: model to load at the start")
	flag.StringVar(&s.Version, "EngineVersion", "", "engine: weight version to load at the start")
	flag.IntVar(&s.BatchLimit, "EngineBatchLimit", 0, "engine: concurrent runs when warm (0: 16)")
	flag.IntVar(&s.ColdCapacity, "EngineColdCapacity", 0, "engine: concurrent runs when cold (0: 2)")
	flag.BoolVar(&s.WarmStart, "EngineWarmStart", false, "engine: start warm")
	flag.Float64Var(&s.PrefillRate, "EnginePrefillRate", 0, "engine: prompt tokens per second (0: 50e6)")
	flag.Float64Var(&s.DecodeRate, "EngineDecodeRate", 0, "engine: generated tokens per second and run (0: 20e3)")
	flag.IntVar(&s.CacheBlocks, "EngineCacheBlocks", 0, "engine: capacity of the prefix cache in blocks (0: 4096)")
	flag.IntVar(&s.BlockTokens, "EngineBlockTokens", 0, "engine: tokens per cache block (0: 1024)")
	flag.DurationVar(&s.LoadTime, "EngineLoadTime", 0, "engine: time to load weights")
	flag.BoolVar(&s.ChecksFencing, "EngineChecksFencing", false, "engine: refuse orders with an old epoch")
	flag.Func("EngineWeights", "engine: address of the weight store from which weights are loaded", func(value string) (err error) {
		s.Weights, err = netip.ParseAddrPort(value)
		return err
	})
	kinds["engine"] = serveEngine
}

func serveEngine(ctx context.Context, addr netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	return engine.New(engineSettings).Serve(ctx, l)
}
