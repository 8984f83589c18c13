// Command cassialoomd is the node, which runs beside each backend server.
package main

import (
	"fmt"
	"os"

	"github.com/cassialoom/cassialoom/daemon"
	"github.com/cassialoom/cassialoom/settings"
)

const exitUsage = 2

func main() {
	if path := os.Getenv(settings.PlatformFileEnv); path != "" {
		parseAndRun(settings.ParsePlatform, func(s settings.Platform) error { return daemon.RunPlatform(path, s) })
		return
	}
	parseAndRun(settings.Parse, daemon.Run)
}

// parseAndRun parses the settings and runs the node until it stops. It prints
// help, and exits with status 2 for invalid settings or 1 if the node fails.
func parseAndRun[S any](parse func(args, env []string) (S, error), run func(S) error) {
	s, err := parse(os.Args[1:], os.Environ())
	if settings.IsHelp(err) {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassialoomd:", err)
		os.Exit(exitUsage)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "cassialoomd:", err)
		os.Exit(1)
	}
}
