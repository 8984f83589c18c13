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
