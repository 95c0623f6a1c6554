//go:build review

package main

// tenant is a tenant with one key.
type tenant struct {
	name, key string
	dedicated bool
}

// promptConfiguration returns a configuration with a route for long prompts, which may be resumed, their engines and a KV store.
func promptConfiguration(store *kvStore, version int, tenants ...tenant) map[string]any {
	listed := []map[string]any{}
	for _, t := range tenants {
		listed = append(listed, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "dedicated": t.dedicated})
	}
	return map[string]any{"version": version,
		"routes": []map[string]any{{"name": "r-sort", "hostname": "jars.example", "path_prefix": "/sort/", "kind": "streaming", "timeout_ms": 8000,
			"target_latency_ms": 600, "priority": 1, "service": "scribe-pool", "attempts": 2, "public": false, "session_affinity": true, "resumable": true,
			"gap_aim_ms": 300}},
		"services": []map[string]any{
			{"name": "card-cache", "kv_store_addr": store.address, "zone": store.zone, "kv_capacity": store.capacity, "link_mbps": store.linkMbps,
				"max_concurrent": 12, "managed": true, "first_ms": 6.0},
			{"name": "scribe-pool", "health_check": "/health", "max_connections": 370, "cold_start_s": 3.0, "cold_per_s": 33.0,
				"engine": map[string]any{"slots": engineSlots, "kv_capacity": 70494, "kv_token_bytes": store.tokenBytes, "link_mbps": 180000.0, "managed": true,
					"max_concurrent": 12, "models": []map[string]any{{"name": model}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": listed}
}
