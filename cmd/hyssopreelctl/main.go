// Command hyssopreelctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hyssopreel/hyssopreel/client"
	"github.com/hyssopreel/hyssopreel/common/fault"
)

// Exit codes. They are stable; scripts depend on them.
const (
	exitOK             = 0
	exitNotRun         = 1 // the request failed and did not run
	exitUsage          = 2
	exitOutcomeUnknown = 3 // the request may have run
	exitConflict       = 4 // another ticket was accepted with the number or a higher one, or the tag belongs to another ticket
	exitRanWithError   = 5 // the request ran but returned an error
	exitReplayMismatch = 6 // a replay gave other outcomes or effects than expected
)

const description = `hyssopreelctl shows and changes a hyssopreel deployment through any of its hosts.

Exit codes:
  0  done
  1  the request failed and did not run
  2  wrong usage
  3  the outcome is unknown: the request may have run
  4  conflict: another ticket with this tag, this number or a higher one exists
  5  the request ran but returned an error
  6  a replay gave other outcomes or effects than expected

Example:
  hyssopreelctl --host 10.0.0.1:7070 --host 10.0.0.2:7070 ticket list`

// globalOptions are the options of every command.
type globalOptions struct {
	Hosts   []string      `long:"host" env:"HYSSOPREEL_HOST" env-delim:"," default:"127.0.0.1:7070" value-name:"ADDRESS:PORT" description:"HTTP address of a host; may be repeated: the hosts are tried in random order until one can be reached"`
	Output  string        `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout time.Duration `long:"timeout" default:"60s" description:"time limit of the command, for example 30s or 2m"`
}

// app holds the options, the API client and the streams that the commands use.
type app struct {
	globalOptions
	ctx    context.Context
	client *client.Client
	stdin  io.Reader
	stdout io.Writer
}

// action is one command. Its exported fields are its options and arguments.
type action interface {
	run(a *app) error
}

// command adapts an action to go-flags, which finds options in exported fields and calls Execute.
type command struct {
	app *app
	action
}

func (c *command) Execute([]string) error { return c.run(c.app) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout}
	parser := flags.NewNamedParser("hyssopreelctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", &a.globalOptions); err != nil {
		return reportError(stderr, "table", err)
	}
	if err := addCommands(parser, a); err != nil {
		return reportError(stderr, "table", err)
	}
	executed := false
	parser.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if cmd == nil {
			return nil
		}
		if len(rest) > 0 {
			return usageErrorf("unexpected argument %q", rest[0])
		}
		executed = true
		var cancel context.CancelFunc
		a.ctx, cancel = context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		a.client = client.New(a.Hosts, nil)
		return cmd.Execute(rest)
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, flagErr.Message)
		return exitOK
	}
	if err != nil && !executed && !errors.As(err, &flagErr) {
		// go-flags does not wrap the conversion errors of positional arguments in a flags.Error.
		err = usageErrorf("invalid argument: %s", err)
	}
	return reportError(stderr, a.Output, err)
}

// replayMismatchError reports a replay that gave other outcomes or effects than expected.
type replayMismatchError struct{ message string }

func (e *replayMismatchError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

// reportError prints the error and returns the exit code.
func reportError(stderr io.Writer, output string, err error) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	var mismatch *replayMismatchError
	var f *fault.Error
	switch {
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "%s\nTry hyssopreelctl --help.\n", usage.Message)
		return exitUsage
	case errors.As(err, &mismatch):
		_, _ = fmt.Fprintln(stderr, mismatch.message)
		return exitReplayMismatch
	case !errors.As(err, &f):
		_, _ = fmt.Fprintln(stderr, err)
		return exitNotRun
	}
	if output == "json" {
		_ = json.NewEncoder(stderr).Encode(map[string]any{"error": f})
	} else {
		_, _ = fmt.Fprintln(stderr, f)
		if f.RetryAfterMS > 0 {
			_, _ = fmt.Fprintf(stderr, "Retry after %s.\n", time.Duration(f.RetryAfterMS)*time.Millisecond)
		}
	}
	switch {
	case f.Outcome == fault.OutcomeUnknown:
		return exitOutcomeUnknown
	case f.Code == fault.CodeTicketConflict || f.Code == fault.CodeKeyReused:
		return exitConflict
	case f.Outcome == fault.OutcomeDone:
		return exitRanWithError
	}
	return exitNotRun
}

// commandAdder adds commands and keeps the first error.
type commandAdder struct {
	app *app
	err error
}

// addGroup adds a command that has only subcommands.
func (d *commandAdder) addGroup(parent *flags.Command, name, short string) *flags.Command {
	cmd, err := parent.AddCommand(name, short, short+".", &struct{}{})
	if err != nil && d.err == nil {
		d.err = err
	}
	return cmd
}

// addCommand adds a command with an example to its help.
func (d *commandAdder) addCommand(parent *flags.Command, name, short, long, example string, act action) {
	cmd, err := parent.AddCommand(name, short, short+". "+long+"\n\nExample:\n  hyssopreelctl "+example, &command{app: d.app, action: act})
	if err == nil {
		_, err = cmd.AddGroup("Command options", "", act)
	}
	if err != nil && d.err == nil {
		d.err = err
	}
}

func addCommands(p *flags.Parser, a *app) error {
	d := &commandAdder{app: a}
	ticket := d.addGroup(p.Command, "ticket", "Apply and show tickets, the numbered configuration changes")
	d.addCommand(ticket, "apply", "Apply a ticket from a JSON file",
		"A ticket holds the complete new state of each object that it changes; null deletes an object. It is accepted or rejected as a whole.",
		"ticket apply --number 12 --author ann pools.json", &ticketApply{})
	d.addCommand(ticket, "show", "Show a ticket as JSON", "Without a number, the ticket in force is shown.", "ticket show 12", &ticketShow{})
	d.addCommand(ticket, "list", "List the latest accepted tickets", "", "ticket list --output json", &ticketList{})
	program := d.addGroup(p.Command, "program", "Show and cancel programs")
	d.addCommand(program, "list", "List programs", "", "program list --team bench", &programList{})
	d.addCommand(program, "show", "Show the status of a program", "", "program show almaty-a-1.7-42", &programShow{})
	d.addCommand(program, "history", "Show the history of a program", "", "program history almaty-a-1.7-42 --output json", &programHistory{})
	d.addCommand(program, "cancel", "Cancel a program and its running call", "", "program cancel almaty-a-1.7-42", &programCancel{})
	host := d.addGroup(p.Command, "host", "Show and drain hosts")
	d.addCommand(host, "list", "List the hosts", "", "host list", &hostList{})
	d.addCommand(host, "drain", "Shut a host down gracefully", "The host rejects new programs, finishes its running calls and transfers its programs to other hosts.", "host drain almaty-a-1", &hostDrain{})
	backend := d.addGroup(p.Command, "backend", "Show backend servers")
	d.addCommand(backend, "list", "List the backend servers", "", "backend list --pool reel-lm", &backendList{})
	pool := d.addGroup(p.Command, "pool", "Show pools")
	d.addCommand(pool, "list", "List the pools and their workers", "", "pool list", &poolList{})
	d.addCommand(p.Command, "explain", "Show the log lines of all hosts about a request or a program",
		"The lines of all logs are sorted by time. Events of the hosts from shortly before and during the request are included: configuration in force, hosts that join and leave, and access to the store.",
		"explain 9c41d07be2a35f68 a-1.log b-1.log", &explainCommand{})
	d.addCommand(p.Command, "fleet", "Show an entry host's view of the fleet, or compare the views of several",
		"The table shows each entry host with its state, its roles, and the ages of its last heartbeat and load report. With several addresses, only the hosts on which the views differ are shown.",
		"fleet 10.1.0.38:9464 10.2.0.40:9464", &fleetCommand{})
	d.addCommand(p.Command, "turns", "Show the turns that hosts with a disk retain",
		"The table shows for each host the retained turns and their size, the space on its disk, the turns of which the host should have a copy and has none yet with the age of the oldest, and the damaged records that were found.",
		"turns 10.1.0.60:9464 10.2.0.61:9464", &turnsCommand{})
	d.addCommand(p.Command, "explain-placement", "Show where an entry host would send a request now, and why",
		"The request is not sent. The table shows each server of the service with its costs in milliseconds of expected delay, and why it cannot take the request; the lines above show the load of the failure domains and which share of the requests may leave.",
		"explain-placement --service engines --prompt-tokens 2000 --body-bytes 8000 10.1.0.38:9464", &explainPlacementCommand{})
	d.addCommand(p.Command, "replay", "Run an event log through the reducer and show its effects",
		"A daemon writes the log if the setting event_log is given. With --expect, the outcomes are compared with a file written by --outcomes, or the effects byte for byte with a file written by --output json.",
		"replay events.log --expect outcomes.json", &replayCommand{})
	return d.err
}
