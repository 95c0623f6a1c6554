package main

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/explain"
	"primrosecourse/internal/process/operator"
	"primrosecourse/internal/process/platform"
)

// invocation is a parsed command line.
type invocation struct {
	command   *command
	arguments []string
	// help, if not empty, is printed and no command is run.
	help string

	platform netip.AddrPort
	entry    netip.AddrPort
	format   string
	timeout  time.Duration
	operator string
	files    operator.Files
	options  operator.ApplyOptions
	logFiles string // comma-separated names of log files
	interval time.Duration
	count    int
	gateway  netip.AddrPort
	question explain.Question
	parts    string // parts of a prompt, ID:TOKENS, separated by commas
}

// commonFlags registers the flags that all commands have.
func (inv *invocation) commonFlags(fs *flag.FlagSet) {
	fs.TextVar(&inv.platform, "Platform", inv.platform, "`address` of the platform, IP:port")
	fs.StringVar(&inv.format, "Format", inv.format, "output `format`, text or json")
	fs.DurationVar(&inv.timeout, "Timeout", inv.timeout, "`bound` of each phase: agreement with the platform, push, wait")
}

// commandFlags registers all flags of c.
func (inv *invocation) commandFlags(fs *flag.FlagSet, c *command) {
	inv.commonFlags(fs)
	if c.has(readsFiles) {
		fs.StringVar(&inv.files.Base, "Base", "", "base settings `file`")
		fs.StringVar(&inv.files.Overlay, "Overlay", "", "overlay `file` of the site, whose keys replace those of the base")
	}
	if c.has(changesConfig) {
		fs.StringVar(&inv.operator, "Operator", userName(), "`name` that is recorded with the change")
		fs.BoolVar(&inv.options.DryRun, "DryRun", false, "show the changes and accept nothing")
		fs.BoolVar(&inv.options.Wait, "Wait", false, "wait until every entry and agent reports the version")
	}
	if c.has(readsFiles) && c.has(changesConfig) {
		fs.BoolVar(&inv.options.ChangeClaimShards, "ChangeClaimShards", false,
			"permit another ClaimShards; only before the first order")
	}
	if c.has(readsConfig) {
		fs.TextVar(&inv.entry, "Entry", netip.AddrPort{}, "read the configuration from the entry at this `address`, not from the platform")
	}
	if c.has(readsLogs) {
		fs.StringVar(&inv.logFiles, "Logs", "", "log `files` of all machines, separated by commas")
	}
	if c.has(asksGateway) {
		fs.TextVar(&inv.gateway, "Gateway", netip.AddrPort{}, "`address` of the gateway for metrics, IP:port")
		fs.StringVar(&inv.question.Credential, "Credential", "", "`credential` of the request")
		fs.StringVar(&inv.question.Model, "Model", "", "`model` that the request names")
		fs.StringVar(&inv.parts, "Parts", "", "`parts` of the prompt, ID:TOKENS, separated by commas")
		fs.IntVar(&inv.question.PromptTokens, "PromptTokens", 0, "`length` of the prompt in tokens")
		fs.IntVar(&inv.question.MaxTokens, "MaxTokens", 0, "`limit` of the output in tokens")
	}
	if c.has(refreshes) {
		fs.DurationVar(&inv.interval, "Interval", 2*time.Second, "`time` between two refreshes")
		fs.IntVar(&inv.count, "Count", 0, "`number` of refreshes, 0 for no end")
	}
}

// parse parses a command line. Its errors are marked with operator.ErrUsage.
func parse(args []string) (inv *invocation, err error) {
	inv = &invocation{format: "text", timeout: 10 * time.Second}
	defer func() { err = errors.Mark(err, operator.ErrUsage) }()
	fs := newFlagSet()
	inv.commonFlags(fs)
	if err = fs.Parse(args); err != nil {
		return inv.helpOrError(err, nil)
	}
	args = fs.Args()
	if len(args) > 0 && args[0] == "help" {
		return inv.helpOrError(flag.ErrHelp, findCommand(args[1:]))
	}
	c := findCommand(args)
	if c == nil {
		if len(args) == 0 {
			return inv, errors.New("no command given")
		}
		if slices.ContainsFunc(args, isHelp) {
			return inv.helpOrError(flag.ErrHelp, nil)
		}
		return inv, errors.Newf("unknown command %q; allowed: %s", strings.Join(args, " "), strings.Join(commandNames(), ", "))
	}
	inv.command = c
	args = args[len(strings.Fields(c.name)):]
	fs = newFlagSet()
	inv.commandFlags(fs, c)
	// Flags may come before, between and after the arguments.
	for {
		if err = fs.Parse(args); err != nil {
			return inv.helpOrError(err, c)
		}
		if fs.NArg() == 0 {
			return inv, inv.validate()
		}
		inv.arguments = append(inv.arguments, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

func newFlagSet() *flag.FlagSet {
	fs := flag.NewFlagSet("primrosectl", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

func isHelp(arg string) bool { return slices.Contains([]string{"-h", "-help", "--help", "--h"}, arg) }

// helpOrError returns err unchanged unless it is flag.ErrHelp. In that case it sets inv.help to the help text of c, or of all
// commands if c is nil.
func (inv *invocation) helpOrError(err error, c *command) (*invocation, error) {
	if !errors.Is(err, flag.ErrHelp) {
		return inv, err
	}
	inv.help = overview()
	if c != nil {
		inv.help = c.help()
	}
	return inv, nil
}

// validate checks what package flag does not check: the number of arguments and the combinations and ranges of the flags.
func (inv *invocation) validate() error {
	c := inv.command
	if want := strings.Fields(c.arguments); len(inv.arguments) != len(want) {
		if len(want) == 0 {
			return errors.Newf("%s takes no arguments, not %q", c.name, inv.arguments)
		}
		return errors.Newf("%s takes %s, not %q", c.name, c.arguments, inv.arguments)
	}
	switch {
	case inv.format != "text" && inv.format != "json":
		return errors.Newf("-Format %q; allowed: text, json", inv.format)
	case inv.timeout <= 0:
		return errors.Newf("-Timeout %s; allowed: above 0", inv.timeout)
	case c.has(refreshes) && inv.interval <= 0:
		return errors.Newf("-Interval %s; allowed: above 0", inv.interval)
	case inv.count < 0:
		return errors.Newf("-Count %d; allowed: 0 and more", inv.count)
	case c.has(readsFiles) && inv.files.Base == "":
		return errors.New("-Base is missing; allowed: the base settings file")
	case c.has(changesConfig) && strings.TrimSpace(inv.operator) == "":
		return errors.New("-Operator is empty; allowed: the name that is recorded with the change")
	case c.has(readsLogs) && inv.logFiles == "":
		return errors.New("-Logs is missing; allowed: log files, separated by commas")
	case c.has(asksGateway) && !inv.gateway.IsValid():
		return errors.New("-Gateway is missing; allowed: the IP:port at which the gateway serves metrics")
	case inv.question.PromptTokens < 0 || inv.question.MaxTokens < 0:
		return errors.New("-PromptTokens and -MaxTokens; allowed: 0 and more")
	case c.has(needsPlatform) && !inv.platform.IsValid() && !inv.entry.IsValid():
		return errors.New("-Platform is missing; allowed: the IP:port of the platform")
	}
	return inv.parseParts()
}

// parseParts parses the parts of a prompt.
func (inv *invocation) parseParts() error {
	if inv.parts == "" {
		return nil
	}
	for text := range strings.SplitSeq(inv.parts, ",") {
		id, tokens, _ := strings.Cut(text, ":")
		n, err := strconv.Atoi(tokens)
		if id == "" || err != nil || n < 0 {
			return errors.Newf("-Parts: %q; allowed: ID:TOKENS, separated by commas", text)
		}
		inv.question.Parts = append(inv.question.Parts, explain.Part{ID: id, Tokens: n})
	}
	return nil
}

// newOperator returns an Operator configured by the flags.
func (inv *invocation) newOperator() *operator.Operator {
	o := &operator.Operator{Name: inv.operator, Timeout: inv.timeout, Entry: inv.entry}
	if inv.platform.IsValid() {
		client := platform.New(inv.platform)
		client.Timeout = inv.timeout
		o.Platform = client
	}
	return o
}

func userName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

// flagUsage returns the help text of the flags in fs, sorted by name.
func flagUsage(fs *flag.FlagSet) string {
	var b strings.Builder
	fs.VisitAll(func(f *flag.Flag) {
		name, usage := flag.UnquoteUsage(f)
		if name != "" {
			name = " " + name
		}
		fmt.Fprintf(&b, "  -%s%s\n        %s", f.Name, name, usage)
		if f.DefValue != "" && f.DefValue != "false" && f.DefValue != "0" && f.DefValue != "invalid AddrPort" {
			fmt.Fprintf(&b, " (default %s)", f.DefValue)
		}
		b.WriteByte('\n')
	})
	return b.String()
}
