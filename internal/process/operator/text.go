package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"primrosecourse/pkg/settings"
)

// WriteText writes the result of a command as text to out, and the problems and failures to errOut.
func (r Report) WriteText(out, errOut io.Writer) {
	for _, p := range r.Problems {
		fmt.Fprintln(errOut, p)
	}
	switch {
	case r.Deployment != nil:
		fmt.Fprintf(out, "# version %d, accepted by %s at %s\n%s", r.Version, r.Operator, formatTime(r.At),
			settings.Format(*r.Deployment))
	case r.Story != nil:
		r.Story.WriteText(out)
	case r.Explanation != nil:
		r.Explanation.WriteText(out)
	case r.Status != nil:
		r.Status.writeText(out)
	default:
		r.writeChanges(out)
	}
	for _, p := range r.NotPushed {
		fmt.Fprintf(errOut, "not pushed to %s\n", p)
	}
	for _, p := range r.NotInForce {
		fmt.Fprintf(errOut, "not in force at %s\n", p)
	}
	if r.InForce {
		fmt.Fprintf(out, "version %d is in force at every entry and agent\n", r.Version)
	}
	if w := r.Winner; w != nil {
		fmt.Fprintf(errOut, "version %d, accepted by %s at %s, changed:\n", w.Version, w.Operator, formatTime(w.At))
		for _, c := range w.Changes {
			fmt.Fprintln(errOut, " ", c)
		}
		if len(w.Changes) == 0 {
			fmt.Fprintln(errOut, "  nothing")
		}
	}
}

func (r Report) writeChanges(out io.Writer) {
	for _, c := range r.Changes {
		fmt.Fprintln(out, c)
	}
	switch {
	case r.Outcome != Done && r.Outcome != NotInForce:
	case r.DryRun:
		fmt.Fprintf(out, "%d changes to version %d; nothing was accepted\n", len(r.Changes), r.Version)
	case r.Version == 0:
		fmt.Fprintln(out, "no problems")
	case len(r.Changes) == 0:
		fmt.Fprintf(out, "no change to version %d, accepted by %s at %s\n", r.Version, r.Operator, formatTime(r.At))
	default:
		fmt.Fprintf(out, "accepted as version %d by %s at %s\n", r.Version, r.Operator, formatTime(r.At))
	}
}

func (p Part) String() string {
	text := fmt.Sprintf("%s %s at %s", p.Kind, p.Name, p.Address)
	if p.ConfigVersion > 0 {
		text += fmt.Sprintf(", which has version %d", p.ConfigVersion)
	}
	if p.Error != "" {
		text += ": " + oneLine(p.Error)
	}
	return text
}

func (s *Status) writeText(out io.Writer) {
	fmt.Fprintf(out, "%s at %s: version %d, accepted by %s at %s\n", s.Site, formatTime(s.TakenAt), s.Version, s.Operator,
		formatTime(s.At))
	fmt.Fprintf(out, "in force at %d, behind at %d, no answer from %d entries and agents\n\n", s.InForce, s.Behind,
		s.Unreachable)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		text := make([]string, len(cells))
		for i, c := range cells {
			text[i] = fmt.Sprint(c)
		}
		fmt.Fprintln(w, strings.Join(text, "\t"))
	}
	row("DOMAIN", "REGION", "TARGET", "ENTRIES", "ENDPOINTS", "RUNNING", "QUEUED")
	for _, d := range s.FailureDomains {
		row(d.Name, d.Region, d.State, fmt.Sprintf("%d/%d", d.Entries, d.EntriesInAll),
			fmt.Sprintf("%d/%d", d.Endpoints, d.EndpointsInAll), d.Running, d.Queued)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
	row("ENDPOINT", "DOMAIN", "SERVES", "TARGET", "STATE", "RUNNING", "QUEUED", "ALLOWANCE", "VERSION", "ERROR")
	for _, p := range s.Endpoints {
		row(p.Name, p.FailureDomain, p.Serves, p.Target, p.State, p.Running, p.Queued, p.Allowance, p.ConfigVersion,
			orDash(p.Error))
	}
	_ = w.Flush()
	fmt.Fprintln(out)
	row("ENTRY", "DOMAIN", "STATE", "RUNNING", "VERSION", "ERROR")
	for _, p := range s.Entries {
		row(p.Name, p.FailureDomain, p.State, p.Running, p.ConfigVersion, orDash(p.Error))
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

// orDash returns text on one line, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return oneLine(text)
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
