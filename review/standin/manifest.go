//go:build review

package main

import "encoding/json"

// route is one row of the table of routes.
type route struct {
	name, host, prefix, kind, service string
	timeout                           float64
	attempts                          int
}

// tenant is one row of the table of tenants.
type tenant struct {
	name        string
	keys        []string
	rate, burst float64
}

// manifest encodes a manifest as the operator writes it.
func manifest(version int, routes []route, services []string, tenants []tenant) []byte {
	var rows, served [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, 1.5, 1, nil, r.attempts, r.service})
	}
	for _, s := range services {
		served = append(served, []any{s, healthPath, 600, "h1", false})
	}
	m := map[string]any{
		"version":  version,
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout-s", "aim-s", "priority", "traffic-split", "max-attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health-check-path", "max-connections", "protocol", "tls"}, "rows": served},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
	if len(tenants) > 0 {
		var list [][]any
		for _, t := range tenants {
			list = append(list, []any{t.name, t.keys, 1, t.rate, t.burst})
		}
		m["tenants"] = map[string]any{"columns": []string{"name", "api-keys", "priority", "rate-per-s", "burst"}, "rows": list}
	}
	text, _ := json.Marshal(m)
	return text
}
