package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/operator"
)

func TestCommandLine(t *testing.T) {
	noise := filepath.Join(t.TempDir(), "noise.hcl")
	is.New(t).NoErr(os.WriteFile(noise, bytes.Repeat([]byte{0, 0xff, '{'}, 1<<20/3), 0o600))
	for line, want := range map[string]struct {
		code int
		says string
	}{
		"--help":                                {operator.ExitOK, "First steps:"},
		"publish --help":                        {operator.ExitOK, "--delete=SERVICE"},
		"":                                      {operator.ExitUsage, "check, check-routes, check-settings, diff, dump, explain, publish, status or trace"},
		"check":                                 {operator.ExitUsage, "`FILE` was not provided"},
		"check a.hcl b.hcl":                     {operator.ExitUsage, `unexpected argument "b.hcl"`},
		"check --color a.hcl":                   {operator.ExitUsage, "unknown flag `color'"},
		"check missing.hcl":                     {operator.ExitUsage, "missing.hcl"},
		"check ../../examples/savukartta.hcl":   {operator.ExitOK, "4 services"},
		"check " + noise:                        {operator.ExitRefused, "longer than"},
		"diff ../../examples/savukartta.hcl":    {operator.ExitUsage, "--log-url is not set"},
		"status":                                {operator.ExitUsage, "--node is not set"},
		"--node here status":                    {operator.ExitUsage, `setting --node: "here": want IP:PORT`},
		"--timeout 3 status":                    {operator.ExitUsage, "want a duration such as 30s"},
		"--log-url ftp://1.2.3.4:5 status":      {operator.ExitUsage, "setting --log-url"},
		"--node 127.0.0.1:1 status":             {operator.ExitFailed, "no node answered"},
		"dump 127.0.0.1:1":                      {operator.ExitFailed, "ask 127.0.0.1:1"},
		"--node 127.0.0.1:1 explain request-17": {operator.ExitFailed, "no node answered"},
	} {
		var out bytes.Buffer
		code := run(context.Background(), strings.Fields(line), &out, &out)
		if code != want.code || !strings.Contains(out.String(), want.says) {
			t.Errorf("%q: exit code %d, want %d; said:\n%s", line, code, want.code, out.String())
		}
	}
}

func TestEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("CASSIALOOM_NODE", "127.0.0.1:1,elsewhere")
	var out bytes.Buffer
	is.Equal(run(context.Background(), []string{"status"}, &out, &out), operator.ExitUsage)
	is.True(strings.Contains(out.String(), `"elsewhere"`))
}

// Guards against publishing or starting with a file that the platform rejects,
// and against errors without the row or field and the cause.
func TestPlatformFilesAreChecked(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		command, text, want string
		code                int
	}{
		{"check-routes", `{"version":3,"routes":{"columns":["name"],"rows":[["r"]]},"limits":{}}`, "kind", 1},
		{"check-routes", `{"version":3,"routes":{"columns":[],"rows":[]},"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-s":1,"idle-timeout-s":1}}`, "version 3 with 0 routes", 0},
		{"check-routes", `{"version":3,"routes":{"columns":[],"rows":[]},"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-s":1,"idle-timeout-s":1},"tenants":{"columns":["name"],"rows":[["north"]]}}`, "one of 1 workspaces", 0},
		{"check-routes", `{"version":3,"routes":{"columns":[],"rows":[]},"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-s":1,"idle-timeout-s":1},"tenants":{"columns":["name"],"rows":[["north"],["north"]]}}`, "row 2: workspace north", 1},
		{"check-settings", "node-id: x", "service", 1},
	} {
		t.Run(c.command, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(dir, "file")
			is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
			var stdout, stderr bytes.Buffer
			is.Equal(run(t.Context(), []string{c.command, path}, &stdout, &stderr), c.code)
			is.True(strings.Contains(stdout.String()+stderr.String(), c.want))
		})
	}
}
