package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLineBytes bounds the length of a log line; readLog stops at a longer one.
const maxLogLineBytes = 1 << 20

// stateMessages are the messages that report a change of the state on which a process
// bases its decisions: its configuration, its endpoints, its store and its peers.
var stateMessages = []string{
	"start", "configuration in force", "endpoints changed", "store lost", "store regained",
	"snapshot of a peer received", "peer lost", "process stalled", "drain",
	"instance list outdated; requests wait for a read",
}

// logLine is one structured log line of a cornelhold process.
type logLine struct {
	Fields  map[string]any `json:"fields"`
	Level   string         `json:"level"`
	At      time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

func (l logLine) node() string { return fmt.Sprint(l.Fields["node"]) }

// explainCommand prints what happened to one request.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [FILE...]",
		Short: "Print what happened to a request, from log lines",
		Long: "explain reads log lines of cornelhold-edge from files or standard input. It prints the\n" +
			"lines of one request and, before them, the state of its process at that time.",
		Example: "  cornelctl explain 9c41d07be2a35f68 edge-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			if len(args) == 1 {
				lines = readLog(cmd.InOrStdin())
			}
			for _, path := range args[1:] {
				file, err := os.Open(path) //nolint:gosec // the operator names the file
				if err != nil {
					return Error.New("cannot read %s: %w; check the path", path, err)
				}
				lines = append(lines, readLog(file)...)
				_ = file.Close()
			}
			timeline := explain(lines, args[0])
			if len(timeline) == 0 {
				return Error.New("no log line of request %s found; check the id and pass the logs of all machines", args[0])
			}
			for _, l := range timeline {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), format(l)); err != nil {
					return Error.Wrap(err)
				}
			}
			return nil
		},
	}
}

// readLog returns the structured lines of a log. Text before the JSON object of a
// line, such as a timestamp that a supervisor adds, and lines without an object are
// ignored.
func readLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		_, object, found := strings.Cut(scanner.Text(), "{")
		var l logLine
		if found && json.Unmarshal([]byte("{"+object), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines
}

// explain returns the lines of a request in order of time. Each is preceded by the
// newest state message of each kind and topic that its process logged since its last
// start or the previous line of the request.
func explain(lines []logLine, request string) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	var timeline []logLine
	lastState := make(map[string]map[string]logLine)
	for _, l := range lines {
		node := l.node()
		if slices.Contains(stateMessages, l.Message) {
			if lastState[node] == nil || l.Message == "start" {
				lastState[node] = make(map[string]logLine)
			}
			topic := fmt.Sprint(l.Message, l.Fields["topic"])
			lastState[node][topic] = l
			continue
		}
		if l.Fields["request"] != request {
			continue
		}
		state := slices.SortedFunc(maps.Values(lastState[node]), func(a, b logLine) int { return a.At.Compare(b.At) })
		timeline = append(append(timeline, state...), l)
		delete(lastState, node)
	}
	return timeline
}

// format returns a line as text: time, process, message and fields by name.
func format(l logLine) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %-18s %s", l.At.UTC().Format("15:04:05.000"), l.node(), l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := fmt.Sprint(l.Fields[name]); name != "node" && name != "request" && value != "" {
			fmt.Fprintf(&out, " %s=%s", name, value)
		}
	}
	return out.String()
}
