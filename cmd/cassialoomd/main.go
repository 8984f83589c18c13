// Command cassialoomd is the node: one runs beside each backend server.
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
		start(settings.ParsePlatform, func(s settings.Platform) error { return daemon.RunPlatform(path, s) })
		return
	}
	start(settings.Parse, daemon.Run)
}

// start reads the settings and runs the node with them until it is stopped.
func start[S any](parse func(args, env []string) (S, error), run func(S) error) {
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
