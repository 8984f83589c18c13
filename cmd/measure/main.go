// Command measure runs load scenarios against a system of separate processes on
// loopback, with the full overload policy and with simpler baselines. It writes a
// table of medians and ranges over the repeats, the figures of each run and plots
// to a folder.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/jessevdk/go-flags"
)

const usageStatus = 2

type options struct {
	Bin       string   `long:"bin" env:"MEASURE_BIN" default:"bin" description:"folder with the programs"`
	Earlier   string   `long:"earlier" env:"MEASURE_EARLIER" description:"folder with the programs of an earlier build, measured as policy 'earlier'"`
	Out       string   `long:"out" env:"MEASURE_OUT" required:"true" description:"folder for tables and plots"`
	Graphs    string   `long:"graphs" env:"MEASURE_GRAPHS" default:"examples" description:"folder with the graph texts of the users"`
	Users     []string `long:"user" env:"MEASURE_USERS" env-delim:"," default:"savukartta" choice:"savukartta" choice:"hallwyl" description:"whose system to measure; may be repeated"`
	Scenarios []string `long:"scenario" env:"MEASURE_SCENARIOS" env-delim:"," description:"scenario to run; may be repeated; default: all"`
	Policies  []string `long:"policy" env:"MEASURE_POLICIES" env-delim:"," description:"policy to run: full, none, fixed, earlier; may be repeated; default: all that there are"`
	Repeats   int      `long:"repeats" env:"MEASURE_REPEATS" default:"3" description:"runs of each scenario and policy"`
	Seed      uint64   `long:"seed" env:"MEASURE_SEED" default:"1" description:"seed of arrivals and service times"`
	List      bool     `long:"list" description:"list the scenarios and end"`
}

// The policies. The nodes support all but policyEarlier, which is the policy
// "full" of another build.
const (
	policyFull    = "full"
	policyNone    = "none"
	policyFixed   = "fixed"
	policyEarlier = "earlier"
)

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if opts.List {
		printScenarios()
		return
	}
	if err == nil {
		err = opts.check()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(usageStatus)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := measure(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func (o *options) check() error {
	if len(o.Policies) == 0 {
		o.Policies = []string{policyFull, policyNone, policyFixed}
		if o.Earlier != "" {
			o.Policies = append(o.Policies, policyEarlier)
		}
	}
	for _, p := range o.Policies {
		if !slices.Contains([]string{policyFull, policyNone, policyFixed, policyEarlier}, p) {
			return fmt.Errorf("setting --policy: value %q: want full, none, fixed or earlier", p)
		}
		if p == policyEarlier && o.Earlier == "" {
			return errors.New("setting --policy: value earlier: want --earlier as well")
		}
	}
	for _, name := range o.Scenarios {
		if _, ok := findScenario(name); !ok {
			return fmt.Errorf("setting --scenario: value %q: want one of those that --list prints", name)
		}
	}
	if o.Repeats < 1 {
		return fmt.Errorf("setting --repeats: value %d: want at least 1", o.Repeats)
	}
	return nil
}

func measure(ctx context.Context, opts options) error {
	if err := os.MkdirAll(opts.Out, 0o755); err != nil {
		return fmt.Errorf("setting --out: %w", err)
	}
	rep := newReport(opts.Out)
	for _, name := range opts.Users {
		u, err := loadUser(name, opts.Graphs)
		if err != nil {
			return err
		}
		if err := measureUser(ctx, opts, u, rep); err != nil {
			return errors.Join(err, rep.writeTable())
		}
	}
	return rep.writeTable()
}

// measureUser alternates between the policies within each repeat, so that slow
// phases of the machine affect all of them.
func measureUser(ctx context.Context, opts options, u *user, rep *report) error {
	for _, s := range selectScenarios(opts.Scenarios) {
		for repeat := range opts.Repeats {
			for _, policy := range opts.Policies {
				seed := opts.Seed + uint64(repeat)
				if err := measureOne(ctx, opts, u, s, policy, repeat, seed, rep); err != nil {
					return fmt.Errorf("%s, %s, %s: %w", u.name, s.name, policy, err)
				}
			}
		}
	}
	return nil
}

// maxTries bounds the runs of a measurement whose runs had stalls of the machine.
const maxTries = 3

func measureOne(ctx context.Context, opts options, u *user, s scenario, policy string, repeat int, seed uint64, rep *report) error {
	for try := range maxTries {
		out, err := runOnce(ctx, opts, u, s, policy, seed)
		if err != nil {
			return err
		}
		if out.stall > maxStall && try < maxTries-1 {
			fmt.Printf("%-11s %-18s %-8s the machine stalled for %v: run again\n", u.name, s.name, policy, out.stall)
			continue
		}
		return rep.add(u, s, policy, repeat, out)
	}
	return nil
}
