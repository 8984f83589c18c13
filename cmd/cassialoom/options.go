package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/operator"
	"github.com/cassialoom/cassialoom/platform"
)

const longDescription = `cassialoom checks and publishes the text that declares your services, and asks the ` +
	`nodes what they run and why they decided as they did.

First steps:
  cassialoom check graph.hcl                       is the text right?
  cassialoom --log-url URL diff graph.hcl          what would change?
  cassialoom --log-url URL publish graph.hcl       put it in force
  cassialoom --node IP:PORT status                 is it in force everywhere?
  cassialoom --node IP:PORT explain REQUEST-ID     why was this request refused?

On the users' platform:
  cassialoom trace REQUEST-ID LOG...               what became of it, from the logs
  cassialoom check-routes routes.json              would the nodes take it?
  cassialoom check-settings node.yaml              would a node start with it?

Exit codes: 0 done, 1 refused (problems in the text, a lost race, nothing found), ` +
	`2 wrong usage, 3 not carried out or outcome not known.`

type options struct {
	LogURL  string        `long:"log-url" env:"CASSIALOOM_LOG_URL" value-name:"URL" description:"platform's log service, http://IP:PORT; for diff and publish, and for status if given"`
	Nodes   []string      `long:"node" env:"CASSIALOOM_NODE" env-delim:"," value-name:"IP:PORT" description:"operators' address of any one node, for status and explain; it leads to all others (repeatable; commas in the variable)"`
	Timeout time.Duration `long:"timeout" env:"CASSIALOOM_TIMEOUT" value-name:"DURATION" default:"30s" description:"longest time for the whole command"`

	Check   checkCommand   `command:"check" description:"check a graph text: file, line, cause and remedy of each problem"`
	Diff    diffCommand    `command:"diff" description:"show what publishing a graph text would change"`
	Publish publishCommand `command:"publish" description:"publish the services of a graph text that changed"`
	Status  statusCommand  `command:"status" description:"show which version is in force where"`
	Dump    dumpCommand    `command:"dump" description:"print the state of one node as JSON"`
	Explain explainCommand `command:"explain" description:"ask every node what it decided about a request"`
	Trace   traceCommand   `command:"trace" description:"one timeline of a request from the logs of several machines"`

	CheckRoutes   checkRoutesCommand   `command:"check-routes" description:"check the routes that the platform's operators publish: row and cause"`
	CheckSettings checkSettingsCommand `command:"check-settings" description:"check the platform's settings file of a machine: every wrong field"`
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"graph text in HCL"`
}

type checkCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
}

type diffCommand struct {
	Delete []string     `long:"delete" value-name:"SERVICE" description:"take this service out (repeatable); one that is only missing in the file is kept"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

type publishCommand struct {
	Operator string       `long:"operator" env:"CASSIALOOM_OPERATOR" value-name:"NAME" description:"your name, shown to others (default: the user's name)"`
	Delete   []string     `long:"delete" value-name:"SERVICE" description:"take this service out (repeatable); one that is only missing in the file is kept"`
	ID       string       `long:"id" value-name:"ID" description:"id of an earlier publication whose outcome is not known; it cannot count twice"`
	Whole    bool         `long:"whole" description:"replace everything in force by the file, whatever it is: the way out when the log has lost what is in force"`
	Args     fileArgument `positional-args:"yes" required:"yes"`
}

type statusCommand struct{}

type dumpCommand struct {
	Args struct {
		Addr string `positional-arg-name:"ADDR" description:"operators' address of the node, IP:PORT"`
	} `positional-args:"yes" required:"yes"`
}

type explainCommand struct {
	Args struct {
		ID string `positional-arg-name:"REQUEST-ID" description:"value of the request's Cassialoom-Request-Id"`
	} `positional-args:"yes" required:"yes"`
}

type traceCommand struct {
	Args struct {
		ID   string   `positional-arg-name:"REQUEST-ID" description:"id that the caller gave its request"`
		Logs []string `positional-arg-name:"LOG" description:"log files of nodes; - for standard input" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

type checkRoutesCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"routes as they lie in the platform's store, in JSON"`
	} `positional-args:"yes" required:"yes"`
}

type checkSettingsCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings file of a machine, in YAML"`
	} `positional-args:"yes" required:"yes"`
}

// command is a subcommand with its parsed arguments.
type command interface {
	run(ctx context.Context, o *operator.Operator) error
}

func (c checkCommand) run(_ context.Context, o *operator.Operator) error {
	text, err := readText(c.Args.File)
	if err != nil {
		return err
	}
	return o.Check(text)
}

func (c diffCommand) run(ctx context.Context, o *operator.Operator) error {
	text, err := readText(c.Args.File)
	if err != nil {
		return err
	}
	return o.Diff(ctx, text, c.Delete)
}

func (c publishCommand) run(ctx context.Context, o *operator.Operator) error {
	text, err := readText(c.Args.File)
	if err != nil {
		return err
	}
	return o.Publish(ctx, operator.Publication{
		Text:     text,
		Operator: cmp.Or(c.Operator, os.Getenv("USER"), "unknown"),
		Delete:   c.Delete,
		ID:       c.ID,
		Whole:    c.Whole,
	})
}

func (statusCommand) run(ctx context.Context, o *operator.Operator) error { return o.Status(ctx) }

func (c dumpCommand) run(ctx context.Context, o *operator.Operator) error {
	return o.Dump(ctx, c.Args.Addr)
}

func (c explainCommand) run(ctx context.Context, o *operator.Operator) error {
	return o.Explain(ctx, c.Args.ID)
}

func (c traceCommand) run(_ context.Context, o *operator.Operator) error {
	logs := make([]io.Reader, 0, len(c.Args.Logs))
	for _, name := range c.Args.Logs {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("%w: %w", operator.ErrUsage, err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return o.Trace(c.Args.ID, logs)
}

func (c checkRoutesCommand) run(_ context.Context, o *operator.Operator) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("%w: %w", operator.ErrUsage, err)
	}
	table, err := platform.DecodeRoutes(text)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", operator.ErrRefused, c.Args.File, err)
	}
	o.Report("%s: version %d with %d routes is right\n", c.Args.File, table.Version, table.Len())
	if table.Workspaces != nil {
		o.Report("requests need the key of one of %d workspaces\n", table.Workspaces.Len())
	}
	return nil
}

func (c checkSettingsCommand) run(_ context.Context, o *operator.Operator) error {
	s, err := platform.ReadSettings(c.Args.File)
	if err != nil {
		return fmt.Errorf("%w: %w", operator.ErrRefused, err)
	}
	o.Report("%s: right; node %s beside %s of service %s\n", c.Args.File, s.Node, s.BackendAddr, s.Service)
	return nil
}

func (o *options) command(name string) command {
	return map[string]command{
		"check":   o.Check,
		"diff":    o.Diff,
		"publish": o.Publish,
		"status":  o.Status,
		"dump":    o.Dump,
		"explain": o.Explain,
		"trace":   o.Trace,

		"check-routes":   o.CheckRoutes,
		"check-settings": o.CheckSettings,
	}[name]
}

func parse(ctx context.Context, o *options, args []string, stdout, stderr io.Writer) int {
	p := flags.NewParser(o, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "cassialoom"
	p.LongDescription = longDescription
	rest, err := p.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(stdout, err)
		return operator.ExitOK
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintf(stderr, "cassialoom: %v; see --help\n", describeError(err))
		return operator.ExitUsage
	}
	err = o.execute(ctx, p.Active.Name, stdout)
	if err != nil {
		fmt.Fprintf(stderr, "cassialoom %s: %v\n", p.Active.Name, err)
	}
	return operator.ExitCode(err)
}

// describeError adds the expected format to a parser error, which names the flag
// and the value. Only --timeout has a value that the parser converts.
func describeError(err error) error {
	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrMarshal {
		return fmt.Errorf("%w: want a duration such as 30s", err)
	}
	return err
}

func (o *options) execute(ctx context.Context, name string, stdout io.Writer) error {
	settings := operator.Settings{LogURL: o.LogURL, Nodes: o.Nodes, Timeout: o.Timeout}
	if err := settings.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return o.command(name).run(ctx, operator.FromSettings(settings, stdout))
}

// readText reads at most one byte more than the largest valid graph text, which
// is enough for a check to reject it.
func readText(name string) (operator.Text, error) {
	f, err := os.Open(name)
	if err != nil {
		return operator.Text{}, fmt.Errorf("%w: %w", operator.ErrUsage, err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, graph.MaxTextBytes+1))
	if err != nil {
		return operator.Text{}, fmt.Errorf("%w: %w", operator.ErrUsage, err)
	}
	return operator.Text{Name: name, Data: data}, nil
}
