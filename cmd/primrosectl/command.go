package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/explain"
	"primrosecourse/internal/process/operator"
	"primrosecourse/internal/process/story"
)

// trait is a property of a command that determines its flags and their validation.
type trait int

const (
	readsFiles    trait = iota // reads settings files
	changesConfig              // changes the configuration
	readsConfig                // only reads the configuration, which an entry can also serve
	refreshes                  // prints a report at each interval
	needsPlatform              // needs the flag Platform or, with readsConfig, the flag Entry
	readsLogs                  // reads log files
	asksGateway                // asks a gateway about a request
)

// command is a command of primrosectl, such as "domain leave".
type command struct {
	name      string
	arguments string // names of the arguments, separated by spaces
	summary   string
	details   string
	examples  []string
	traits    []trait
	// streams means that run emits its reports itself, and the report that it returns is printed only with an error.
	streams bool
	run     func(ctx context.Context, inv *invocation, emit func(operator.Report)) (operator.Report, error)
}

func (c *command) has(t trait) bool { return slices.Contains(c.traits, t) }

// singleReport adapts f, which returns one report and emits none, to the type of command.run.
func singleReport(f func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error)) func(
	context.Context, *invocation, func(operator.Report)) (operator.Report, error) {
	return func(ctx context.Context, inv *invocation, _ func(operator.Report)) (operator.Report, error) {
		return f(ctx, inv, inv.newOperator())
	}
}

const (
	platformExample = "-Platform 10.0.0.1:7000"
	filesExample    = "-Base examples/kleinkloof/base.ini -Overlay examples/kleinkloof/site.ini"
)

var commands = []*command{
	{
		name:    "check",
		summary: "check settings files and list every problem",
		details: "Needs no platform. Each problem is printed with file, line, key and what is allowed.",
		examples: []string{
			"primrosectl check " + filesExample,
			"primrosectl check -Format json " + filesExample,
		},
		traits: []trait{readsFiles},
		run: singleReport(func(_ context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.Check(inv.files)
		}),
	},
	{
		name:    "diff",
		summary: "show what applying settings files would change",
		details: "The exit code is 0 with and without changes.",
		examples: []string{
			"primrosectl diff " + platformExample + " " + filesExample,
		},
		traits: []trait{readsFiles, needsPlatform},
		run: singleReport(func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.Diff(ctx, inv.files)
		}),
	},
	{
		name:    "apply",
		summary: "accept the configuration in settings files",
		details: "Shows the changes, accepts them with a conditional update and pushes the new version to the entries.\n" +
			"Failure domains and endpoints keep the state that commands gave them, unless the files state it.",
		examples: []string{
			"primrosectl apply " + platformExample + " " + filesExample + " -DryRun",
			"primrosectl apply " + platformExample + " " + filesExample + " -Wait",
		},
		traits: []trait{readsFiles, changesConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.Apply(ctx, inv.files, inv.options)
		}),
	},
	{
		name:      "story",
		arguments: "REQUEST",
		summary:   "tell what log files say of a request, in order of time",
		details: "Needs no platform. Shows the request's lines of all machines, what was believed of the endpoints that it met, and\n" +
			"what is missing.",
		examples: []string{
			"primrosectl story 9c41d07be2a35f68 -Logs gateway1.log,gateway2.log",
			"primrosectl story 9c41d07be2a35f68 -Logs all.log -Format json",
		},
		traits: []trait{readsLogs},
		run: singleReport(func(_ context.Context, inv *invocation, _ *operator.Operator) (r operator.Report, err error) {
			r.Story, err = story.Read(inv.arguments[0], strings.Split(inv.logFiles, ",")...)
			return r, errors.Mark(err, operator.ErrUsage)
		}),
	},
	{
		name:      "explain",
		arguments: "HOST PATH",
		summary:   "show where a gateway would send a request now, and why",
		details: "Needs no platform. Nothing is sent to an endpoint and nothing is counted. The parts of the prompt are those of the\n" +
			"request's header, the last one specific to the request. Costs are in milliseconds.",
		examples: []string{
			"primrosectl explain shop.example /status/ -Gateway 10.0.1.1:9109",
			"primrosectl explain chat.example /chat/ -Gateway 10.0.1.1:9109 -Credential key-1 -Model m -Parts a1:1200,b7:300 -PromptTokens 1500 -MaxTokens 20",
		},
		traits: []trait{asksGateway},
		run:    explainRequest,
	},
	{
		name:    "get",
		summary: "print the accepted configuration",
		details: "The text format is INI that check and apply read.",
		examples: []string{
			"primrosectl get " + platformExample + " > current.ini",
			"primrosectl get -Entry 10.0.1.1:20001 -Format json",
		},
		traits: []trait{readsConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, _ *invocation, o *operator.Operator) (operator.Report, error) {
			return o.Get(ctx)
		}),
	},
	{
		name:    "status",
		summary: "show failure domains, endpoints and entries",
		details: "Pings every entry and agent. Parts that do not answer are listed with the error; the exit code is 0.",
		examples: []string{
			"primrosectl status " + platformExample,
			"primrosectl status -Entry 10.0.1.1:20001 -Format json",
		},
		traits: []trait{readsConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, _ *invocation, o *operator.Operator) (operator.Report, error) {
			return o.Status(ctx)
		}),
	},
	{
		name:    "watch",
		summary: "refresh status until interrupted",
		details: "With -Format json each refresh is one line. A refresh that fails is reported and the next one tried.",
		examples: []string{
			"primrosectl watch " + platformExample,
			"primrosectl watch " + platformExample + " -Interval 5s -Count 12 -Format json",
		},
		traits:  []trait{readsConfig, refreshes, needsPlatform},
		streams: true,
		run:     watch,
	},
	{
		name:      "domain leave",
		arguments: "NAME",
		summary:   "take a failure domain out",
		details: "Entries stop choosing the domain; its agents refuse new work and finish what runs. The last active\n" +
			"failure domain cannot leave.",
		examples: []string{
			"primrosectl domain leave Soweto " + platformExample + " -Wait",
		},
		traits: []trait{changesConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.LeaveDomain(ctx, inv.arguments[0], inv.options.Options)
		}),
	},
	{
		name:      "domain return",
		arguments: "NAME",
		summary:   "put a failure domain back",
		details:   "Its share of the load grows over RampTime.",
		examples: []string{
			"primrosectl domain return Soweto " + platformExample + " -Wait",
		},
		traits: []trait{changesConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.ReturnDomain(ctx, inv.arguments[0], inv.options.Options)
		}),
	},
	{
		name:      "endpoint drain",
		arguments: "NAME",
		summary:   "take an endpoint out",
		details:   "Its agent refuses new work and finishes what runs. status shows when nothing runs any more.",
		examples: []string{
			"primrosectl endpoint drain Model3 " + platformExample + " -Wait",
		},
		traits: []trait{changesConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.DrainEndpoint(ctx, inv.arguments[0], inv.options.Options)
		}),
	},
	{
		name:      "endpoint return",
		arguments: "NAME",
		summary:   "put an endpoint back",
		examples: []string{
			"primrosectl endpoint return Model3 " + platformExample + " -Wait",
		},
		traits: []trait{changesConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.ReturnEndpoint(ctx, inv.arguments[0], inv.options.Options)
		}),
	},
	{
		name:      "version swap",
		arguments: "MODEL VERSION",
		summary:   "put a version of a model's weights in force",
		details:   "The agents load it, at most two at a time in a site. Runs under way keep their version.",
		examples: []string{
			"primrosectl version swap Notes 2026-12 " + platformExample + " -Wait",
		},
		traits: []trait{changesConfig, needsPlatform},
		run: singleReport(func(ctx context.Context, inv *invocation, o *operator.Operator) (operator.Report, error) {
			return o.SwapVersion(ctx, inv.arguments[0], inv.arguments[1], inv.options.Options)
		}),
	},
}

// explainRequest asks a gateway where a request would go.
func explainRequest(ctx context.Context, inv *invocation, _ func(operator.Report)) (r operator.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	inv.question.Host, inv.question.Path = inv.arguments[0], inv.arguments[1]
	r.Explanation, err = explain.Ask(ctx, inv.gateway, &inv.question)
	if err != nil {
		return operator.Report{}, errors.Mark(err, operator.ErrUnavailable)
	}
	return r, nil
}

// watch emits the status until the count is reached or ctx is done. The error of the last refresh is returned; that of an earlier
// one is emitted in its report. It returns no error when ctx is done, since an interrupt is the usual way to end it.
func watch(ctx context.Context, inv *invocation, emit func(operator.Report)) (operator.Report, error) {
	o := inv.newOperator()
	for i := 1; ; i++ {
		r, err := o.Status(ctx)
		if ctx.Err() != nil {
			return operator.Report{}, nil
		}
		if err != nil && i == inv.count {
			return r, err
		}
		if err != nil {
			r.Outcome, r.Error = operator.CodeOf(err), err.Error()
		}
		emit(r)
		if i == inv.count {
			return operator.Report{}, nil
		}
		select {
		case <-ctx.Done():
			return operator.Report{}, nil
		case <-time.After(inv.interval):
		}
	}
}

// findCommand returns the command whose name args begin with, or nil.
func findCommand(args []string) *command {
	for _, c := range commands {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && slices.Equal(args[:len(words)], words) {
			return c
		}
	}
	return nil
}

func commandNames() []string {
	names := make([]string, len(commands))
	for i, c := range commands {
		names[i] = c.name
	}
	return names
}

// overview returns the help text that lists all commands.
func overview() string {
	var b strings.Builder
	b.WriteString("primrosectl changes and shows the configuration of a deployment.\n\n" +
		"Usage: primrosectl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n")
	for _, c := range commands {
		fmt.Fprintf(&b, "  %-31s%s\n", strings.TrimSpace(c.name+" "+c.arguments), c.summary)
	}
	fs := newFlagSet()
	(&invocation{format: "text", timeout: 10 * time.Second}).commonFlags(fs)
	b.WriteString("\nFlags of all commands:\n" + flagUsage(fs) + exitCodes +
		"\nprimrosectl help COMMAND shows the flags and examples of a command.\n")
	return b.String()
}

const exitCodes = `
Exit codes:
  0  done
  1  rejected: problems in the settings, or another operator's change came first
  2  usage: the command line was not understood
  3  platform unavailable; nothing was changed
  4  outcome unknown: the change may have been accepted
  5  accepted, but not yet in force everywhere
`

// help returns the help text of the command.
func (c *command) help() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n\nUsage: primrosectl %s [FLAGS]\n", c.name, c.summary,
		strings.TrimSpace(c.name+" "+c.arguments))
	if c.details != "" {
		fmt.Fprintf(&b, "\n%s\n", c.details)
	}
	b.WriteString("\nExamples:\n")
	for _, example := range c.examples {
		fmt.Fprintf(&b, "  %s\n", example)
	}
	fs := newFlagSet()
	(&invocation{format: "text", timeout: 10 * time.Second}).commandFlags(fs, c)
	b.WriteString("\nFlags:\n" + flagUsage(fs) + exitCodes)
	return b.String()
}
