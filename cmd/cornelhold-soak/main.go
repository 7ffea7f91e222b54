// Command cornelhold-soak runs cornelhold-edge processes under random faults and
// checks the guarantees of the system against what callers, replicas and the
// platform observe.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/soak"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o soak.Options
	var seeds int
	root := &cobra.Command{
		Use:          "cornelhold-soak",
		Short:        "Run edge processes under random faults and check their guarantees",
		Example:      "  cornelhold-soak --program .bin/cornelhold-edge --seeds 50 --length 10s",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return runSeeds(cmd, o, seeds) },
	}
	flags := root.Flags()
	flags.StringVar(&o.Program, "program", ".bin/cornelhold-edge", "path of cornelhold-edge")
	flags.Uint64Var(&o.Seed, "seed", 0, "first seed; 0 draws one")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, counted up from the first")
	flags.IntVar(&o.Edges, "edges", 3, "number of edge processes")
	flags.IntVar(&o.Clients, "clients", 12, "number of callers")
	flags.DurationVar(&o.Length, "length", 10*time.Second, "how long faults are injected for each seed")
	flags.StringVar(&o.Dir, "dir", "", "folder for logs of seeds that fail (default: a new temporary one)")
	return root
}

func runSeeds(cmd *cobra.Command, o soak.Options, seeds int) error {
	if o.Seed == 0 {
		o.Seed = uint64(rand.Uint32()) + 1
	}
	if o.Edges < 1 || o.Clients < 1 || seeds < 1 {
		return errs.New("--edges, --clients and --seeds must be 1 or more")
	}
	root := o.Dir
	if root == "" {
		var err error
		if root, err = os.MkdirTemp("", "cornelhold-soak-"); err != nil {
			return errs.Wrap(err)
		}
	}
	failed := 0
	for range seeds {
		o.Dir = filepath.Join(root, fmt.Sprint("seed-", o.Seed))
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return errs.Wrap(err)
		}
		result, err := soak.Run(cmd.Context(), o)
		if err != nil {
			return err
		}
		cmd.Printf("seed %d: %d calls, %d served, %d runs, %d faults, %d violations\n",
			o.Seed, result.Calls, result.Served, result.Runs, len(result.Faults), len(result.Violations))
		if len(result.Violations) > 0 {
			failed++
			for _, line := range append(result.Faults, result.Violations...) {
				cmd.Println("  " + line)
			}
			cmd.Println("  logs: " + o.Dir)
		} else if err := os.RemoveAll(o.Dir); err != nil {
			return errs.Wrap(err)
		}
		o.Seed++
	}
	if failed > 0 {
		return errs.New("%d of %d seeds failed; the logs are in the folders printed above", failed, seeds)
	}
	return nil
}
