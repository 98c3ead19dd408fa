package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
)

// maxCellRunes bounds a cell of a table; JSON output has the whole value.
const maxCellRunes = 60

// printResult prints v as JSON, or the rows as a table under the header, a space-separated list of column names.
func (a *app) printResult(v any, header string, rows func(add func(cells ...any))) error {
	if a.Output == "json" {
		return a.printJSON(v)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	rows(func(cells ...any) {
		out := make([]string, len(cells))
		for i, c := range cells {
			out[i] = formatCell(fmt.Sprint(c))
		}
		_, _ = fmt.Fprintln(w, strings.Join(out, "\t"))
	})
	return w.Flush()
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// printConfirmation prints a sentence that confirms the command, in JSON as the field "result".
func (a *app) printConfirmation(format string, args ...any) error {
	if a.Output == "json" {
		return a.printJSON(map[string]string{"result": fmt.Sprintf(format, args...)})
	}
	_, err := fmt.Fprintf(a.stdout, format+"\n", args...)
	return err
}

// formatCell returns s on one line of at most maxCellRunes characters, or "-" if it is empty.
func formatCell(s string) string {
	s = strings.Join(strings.Fields(s), " ")
	if s == "" {
		return "-"
	}
	if r := []rune(s); len(r) > maxCellRunes {
		return string(r[:maxCellRunes-3]) + "..."
	}
	return s
}

func formatTime(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

type ticketApply struct {
	Number uint64 `long:"number" description:"ticket number; overrides the number in the file"`
	Author string `long:"author" env:"USER" description:"author of the ticket, if the file has none"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"JSON file with one ticket; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (c *ticketApply) run(a *app) error {
	t, err := readTicket(a.stdin, c.Args.File)
	if err != nil {
		return err
	}
	if c.Number != 0 {
		t.Number = c.Number
	}
	if t.Author == "" {
		t.Author = c.Author
	}
	accepted, err := a.client.ApplyTicket(a.ctx, t)
	if err != nil {
		return err
	}
	if a.Output == "json" {
		return a.printJSON(accepted)
	}
	return a.printConfirmation("Ticket %d was accepted; ticket %d is in force.", t.Number, accepted.Number)
}

func readTicket(stdin io.Reader, file string) (config.Ticket, error) {
	var t config.Ticket
	b, err := readFile(stdin, file)
	if err != nil {
		return t, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&t); err != nil {
		return t, fault.New(fault.CodeInvalidRequest, "read ticket", "file %s holds no valid ticket: %s", file, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return t, fault.New(fault.CodeInvalidRequest, "read ticket", "file %s holds more than one JSON value; give one ticket", file)
	}
	return t, nil
}

func readFile(stdin io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}

type ticketShow struct {
	Args struct {
		Number uint64 `positional-arg-name:"N"`
	} `positional-args:"yes"`
}

func (c *ticketShow) run(a *app) error {
	n := c.Args.Number
	if n == 0 {
		l, err := a.client.Tickets(a.ctx)
		if err != nil {
			return err
		}
		if n = l.InForce; n == 0 {
			return fault.New(fault.CodeNotFound, "show ticket", "no ticket has been accepted yet; apply one with hyssopreelctl ticket apply")
		}
	}
	t, err := a.client.Ticket(a.ctx, n)
	if err != nil {
		return err
	}
	return a.printJSON(t)
}

type ticketList struct{}

func (c *ticketList) run(a *app) error {
	l, err := a.client.Tickets(a.ctx)
	if err != nil {
		return err
	}
	return a.printResult(l, "NUMBER AUTHOR ACCEPTED TAG COMMENT", func(add func(...any)) {
		for _, t := range l.Tickets {
			add(t.Number, t.Author, formatTime(t.AcceptedAtMS), t.Tag, t.Comment)
		}
	})
}

type programArgs struct {
	Args struct {
		ID ids.Program `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

type programList struct {
	Team  string `long:"team" description:"only programs of this team"`
	State string `long:"state" description:"only programs in this state: open, ended, canceled or failed"`
}

func (c *programList) run(a *app) error {
	all, err := a.client.Programs(a.ctx)
	if err != nil {
		return err
	}
	l := api.Programs{Programs: []api.ProgramStatus{}}
	for _, p := range all.Programs {
		if (c.Team == "" || p.Team == c.Team) && (c.State == "" || p.State == c.State) {
			l.Programs = append(l.Programs, p)
		}
	}
	return a.printPrograms(l, l.Programs)
}

func (a *app) printPrograms(v any, programs []api.ProgramStatus) error {
	return a.printResult(v, "ID TEAM AGENT CLASS STATE HOME TURNS SPENT BUDGET OPENED", func(add func(...any)) {
		for _, p := range programs {
			add(p.ID, p.Team, p.Agent, p.Class, p.State, p.Home, p.Turns, p.SpentTokens, p.BudgetTokens, formatTime(p.OpenedAtMS))
		}
	})
}

type programShow struct{ programArgs }

func (c *programShow) run(a *app) error {
	p, err := a.client.Program(a.ctx, c.Args.ID)
	if err != nil {
		return err
	}
	return a.printPrograms(p, []api.ProgramStatus{p})
}

type programHistory struct{ programArgs }

func (c *programHistory) run(a *app) error {
	h, err := a.client.History(a.ctx, c.Args.ID)
	if err != nil {
		return err
	}
	return a.printResult(h, "SEQ KEY KIND WORKER COST REQUEST ANSWER ERROR", func(add func(...any)) {
		for _, t := range h.Turns {
			code := ""
			if t.Error != nil {
				code = string(t.Error.Code)
			}
			add(t.Seq, t.Key, t.Kind, t.Worker, t.Usage.CostTokens, t.Request, t.Answer, code)
		}
	})
}

type programCancel struct{ programArgs }

func (c *programCancel) run(a *app) error {
	if err := a.client.Cancel(a.ctx, c.Args.ID); err != nil {
		return err
	}
	return a.printConfirmation("Program %s is canceled.", c.Args.ID)
}

type hostList struct{}

func (c *hostList) run(a *app) error {
	l, err := a.client.Members(a.ctx)
	if err != nil {
		return err
	}
	return a.printResult(l, "NAME JOURNAL FAILURE-DOMAIN ADDRESS STATE TICKET PROGRAMS ADOPTED", func(add func(...any)) {
		for _, m := range l.Members {
			adopted := make([]string, len(m.Adopted))
			for i, j := range m.Adopted {
				adopted[i] = string(j)
			}
			add(m.Name, m.Journal, m.FailureDomain, m.Address, m.State, m.Ticket, m.Programs, strings.Join(adopted, ","))
		}
	})
}

type hostDrain struct {
	Args struct {
		Host ids.Host `positional-arg-name:"HOST"`
	} `positional-args:"yes" required:"yes"`
}

func (c *hostDrain) run(a *app) error {
	if err := a.client.Drain(a.ctx, c.Args.Host); err != nil {
		return err
	}
	return a.printConfirmation("Host %s is draining.", c.Args.Host)
}

type backendList struct {
	Pool string `long:"pool" description:"only backend servers of this pool"`
}

func (c *backendList) run(a *app) error {
	all, err := a.client.Backends(a.ctx)
	if err != nil {
		return err
	}
	l := api.Backends{Backends: []api.Backend{}}
	for _, b := range all.Backends {
		if c.Pool == "" || b.Pool == c.Pool {
			l.Backends = append(l.Backends, b)
		}
	}
	return a.printResult(l, "NAME POOL KIND ADDRESS FAILURE-DOMAIN STATE RUNNING CACHE-TOKENS", func(add func(...any)) {
		for _, b := range l.Backends {
			add(b.Name, b.Pool, b.Kind, b.Address, b.FailureDomain, b.State, b.Running, b.CacheTokens)
		}
	})
}

type poolList struct{}

func (c *poolList) run(a *app) error {
	l, err := a.client.Pools(a.ctx)
	if err != nil {
		return err
	}
	return a.printResult(l, "POOL WORKER KIND MODEL VERSION ADAPTERS ROLE STATE ORDER ERROR", func(add func(...any)) {
		for _, p := range l.Pools {
			add(p.Name, "(configured)", p.Kind, p.Model, p.Version, strings.Join(p.Adapters, ","), p.Role, "", "", "")
			for _, w := range p.Workers {
				add(p.Name, w.Name, p.Kind, w.Model, w.Version, strings.Join(w.Adapters, ","), w.Role, w.State, w.Order, w.Error)
			}
		}
	})
}
