package cli

import (
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

func ticketCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "ticket", Short: "Check, file and read tickets"}
	cmd.AddCommand(ticketCheckCommand(o), ticketFileCommand(o), ticketShowCommand(o), ticketListCommand(o), ticketWaitCommand(o))
	return cmd
}

// checkView is the output of ticket check.
type checkView struct {
	File    string `json:"file"`
	Objects int    `json:"objects"`
	// ReferencesChecked reports whether references to other objects were checked
	// against the active configuration.
	ReferencesChecked bool `json:"references_checked"`
}

func ticketCheckCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a ticket file without filing it",
		Long:  "Check a ticket file without filing it. With --log, references to other objects are checked against the active configuration.",
		Example: "  cornelctl ticket check deploy/hizakura/ticket.yaml\n" +
			"  cornelctl --log http://10.0.0.5:7000 ticket check ticket.yaml",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			view, err := checkTicket(cmd, o, args[0])
			if err != nil {
				return err
			}
			references := "references not checked, pass --log"
			if view.ReferencesChecked {
				references = "references checked"
			}
			return o.print(cmd.OutOrStdout(), view, [][]string{
				{view.File + ": ok, " + strconv.Itoa(view.Objects) + " objects, " + references},
			})
		},
	}
}

func checkTicket(cmd *cobra.Command, o *options, file string) (checkView, error) {
	doc, err := readTicket(file)
	if err != nil {
		return checkView{}, err
	}
	objects, err := doc.Objects()
	if err != nil {
		return checkView{}, err
	}
	view := checkView{File: file, Objects: len(objects), ReferencesChecked: o.log != ""}
	if o.log == "" {
		return view, ticket.CheckStandalone(file, doc)
	}
	ctx, cancel := o.context(cmd)
	defer cancel()
	history, err := operator.NewFiler(o.log).Recent(ctx)
	if err != nil {
		return view, err
	}
	return view, ticket.Check(file, doc, history.Fold.Current())
}

func ticketFileCommand(o *options) *cobra.Command {
	var author string
	cmd := &cobra.Command{
		Use:   "file FILE",
		Short: "File a ticket and report whether it was accepted",
		Long: "File a ticket and report whether it was accepted. The ticket is checked first. " +
			"A ticket without a number takes the number after the active one.",
		Example: "  cornelctl --log http://127.0.0.1:7000 ticket file ticket.yaml --author mika\n" +
			"  cornelctl ticket file ticket.yaml --output json | jq .number",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			filer, err := o.filer()
			if err != nil {
				return err
			}
			doc, err := readTicket(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := o.context(cmd)
			defer cancel()
			entry, err := filer.FileChecked(ctx, args[0], doc, author)
			if err != nil {
				return err
			}
			view := viewEntry(entry, false)
			return o.print(cmd.OutOrStdout(), view, [][]string{
				{"accepted: number " + strconv.FormatUint(view.Number, 10) + ", id " + view.ID},
			})
		},
	}
	cmd.Flags().StringVar(&author, "author", os.Getenv("USER"), "name of the operator")
	return cmd
}

// entryView is the output form of a ticket record.
type entryView struct {
	Number  uint64              `json:"number"`
	ID      string              `json:"id"`
	Verdict string              `json:"verdict"`
	Time    time.Time           `json:"time"`
	Author  string              `json:"author"`
	Comment string              `json:"comment,omitempty"`
	Offset  uint64              `json:"offset"`
	Objects []ticket.ObjectView `json:"objects,omitempty"`
}

func viewEntry(e operator.Entry, withObjects bool) entryView {
	view := entryView{
		Number: uint64(e.Ticket.Number), ID: e.Ticket.ID, Verdict: e.Verdict.String(), Time: e.Time.UTC(),
		Author: e.Ticket.Author, Comment: e.Ticket.Comment, Offset: e.Offset,
	}
	if withObjects {
		view.Objects = ticket.View(e.Ticket.Objects)
	}
	return view
}

func (v entryView) row() []string {
	return []string{strconv.FormatUint(v.Number, 10), v.Verdict, v.Time.Format(time.RFC3339), v.Author, v.ID, v.Comment}
}

var entryHeader = []string{"NUMBER", "VERDICT", "TIME", "AUTHOR", "ID", "COMMENT"}

func ticketShowCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show NUMBER|ID",
		Short: "Show the ticket that holds a number or has an id",
		Long: "Show the accepted ticket that holds a number, or the ticket with an id whatever its verdict. " +
			"Tickets that have expired from the log service are not found.",
		Example: "  cornelctl ticket show 42\n  cornelctl ticket show 6f1c2a52-6a0e-4c43-9d57-0f3f9e1c8a11 --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			history, err := readHistory(cmd, o)
			if err != nil {
				return err
			}
			entry, found := history.Find(args[0])
			if !found {
				return Error.New("no ticket %s is in the log; list the tickets with cornelctl ticket list", args[0])
			}
			view := viewEntry(entry, true)
			rows := [][]string{entryHeader, view.row()}
			for _, object := range view.Objects {
				rows = append(rows, objectRow(object))
			}
			return o.print(cmd.OutOrStdout(), view, rows)
		},
	}
}

func objectRow(o ticket.ObjectView) []string {
	value := string(o.Value)
	if o.Deleted {
		value = "deleted"
	}
	return []string{o.Kind + "/" + o.Name, value}
}

func ticketListCommand(o *options) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List the newest tickets with their verdicts",
		Example: "  cornelctl ticket list\n  cornelctl ticket list --limit 100 --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			history, err := readHistory(cmd, o)
			if err != nil {
				return err
			}
			entries := history.Entries[max(0, len(history.Entries)-max(limit, 1)):]
			views := make([]entryView, 0, len(entries))
			rows := [][]string{entryHeader}
			for _, entry := range entries {
				view := viewEntry(entry, false)
				views = append(views, view)
				rows = append(rows, view.row())
			}
			return o.print(cmd.OutOrStdout(), views, rows)
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of tickets")
	return cmd
}

func readHistory(cmd *cobra.Command, o *options) (*operator.History, error) {
	filer, err := o.filer()
	if err != nil {
		return nil, err
	}
	ctx, cancel := o.context(cmd)
	defer cancel()
	return filer.History(ctx)
}

func ticketWaitCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "wait NUMBER",
		Short: "Wait until a ticket is active on all live routers",
		Long: "Wait until every live own instance states that it is active at the number or a later one, or until --timeout passes. " +
			"An instance that does not answer counts as not active until the membership removes it.",
		Example: "  cornelctl --router 10.0.1.4:7100 ticket wait 42 --timeout 30s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return Error.New("%q is not a ticket number; pass the number that ticket file printed", args[0])
			}
			if len(o.routers) == 0 {
				return Error.New("no router given; pass --router or set CORNELCTL_ROUTER")
			}
			ctx, cancel := o.context(cmd)
			defer cancel()
			state, err := operator.NewStateReader(o.routers).Wait(ctx, config.Number(number))
			if err != nil {
				return err
			}
			return printState(cmd, o, state, false)
		},
	}
}

// stateView is the output form of the active configuration and its members.
type stateView struct {
	Answering string              `json:"answering"`
	Number    uint64              `json:"number"`
	TicketID  string              `json:"ticket_id"`
	Members   []operator.Member   `json:"members"`
	Objects   []ticket.ObjectView `json:"objects,omitempty"`
}

func stateCommand(o *options) *cobra.Command {
	var objects bool
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Show what is active, and on which own instance at which number",
		Long: "Show what is active, and on which own instance at which number. One router gives the member list; " +
			"then each live member is asked. A number with an asterisk is the one that the router last received.",
		Example: "  cornelctl --router 10.0.1.4:7100 state\n  cornelctl state --objects --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			state, err := operator.NewStateReader(o.routers).State(ctx)
			if err != nil {
				return err
			}
			return printState(cmd, o, state, objects)
		},
	}
	cmd.Flags().BoolVar(&objects, "objects", false, "show the active objects with their values")
	return cmd
}

func printState(cmd *cobra.Command, o *options, s *operator.State, objects bool) error {
	view := stateView{
		Answering: s.Responder, Number: uint64(s.Active.Number), TicketID: s.Active.TicketID, Members: s.Members,
	}
	rows := [][]string{{"INSTANCE", "DATA CENTRE", "REGION", "ADDRESS", "STATE", "NUMBER"}}
	for _, m := range s.Members {
		number := strconv.FormatUint(m.Number, 10)
		if !m.Responded {
			number += "*"
		}
		rows = append(rows, []string{m.Instance, m.DataCentre, m.Region, m.Address, m.State, number})
	}
	if objects {
		view.Objects = ticket.View(s.Active.Objects)
		for _, object := range view.Objects {
			rows = append(rows, objectRow(object))
		}
	}
	return o.print(cmd.OutOrStdout(), view, rows)
}

func readTicket(path string) (ticket.Document, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return ticket.Document{}, ticket.Error.New("cannot read %s: %w; check the path", path, err)
	}
	return ticket.ParseFile(path, data)
}
