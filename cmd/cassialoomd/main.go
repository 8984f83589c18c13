// Command cassialoomd is the node: one runs beside each backend server.
package main

import (
	"fmt"
	"os"

	"github.com/cassialoom/cassialoom/daemon"
	"github.com/cassialoom/cassialoom/settings"
)

const exitUsage = 2

// platformFile names the variable that holds the path of the users' platform's
// settings file. Where it is set, the platform's settings are all there are.
const platformFile = "CASSIALOOM_CONFIG"

func main() {
	if path := os.Getenv(platformFile); path != "" {
		if err := daemon.RunPlatform(path); err != nil {
			fmt.Fprintln(os.Stderr, "cassialoomd:", err)
			os.Exit(1)
		}
		return
	}
	s, err := settings.Parse(os.Args[1:], os.Environ())
	if settings.IsHelp(err) {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassialoomd:", err)
		os.Exit(exitUsage)
	}
	if err := daemon.Run(s); err != nil {
		fmt.Fprintln(os.Stderr, "cassialoomd:", err)
		os.Exit(1)
	}
}
