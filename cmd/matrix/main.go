// Command matrix injects faults into real processes and checks the guarantees of
// the design. It exits with status 0 only if all cells ran and no guarantee was
// violated.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"wasabiworks.example/wasabiworks/internal/bench/matrix"
)

type settings struct {
	Binaries string        `long:"binaries" env:"WASABIWORKS_MATRIX_BINARIES" default:"bin" description:"directory of the built programs"`
	Logs     string        `long:"logs" env:"WASABIWORKS_MATRIX_LOGS" default:"out/matrix" description:"directory for the logs of the processes"`
	Cells    []string      `long:"cell" env:"WASABIWORKS_MATRIX_CELLS" env-delim:"," description:"cell to run, can be repeated; default all"`
	Seed     uint64        `long:"seed" env:"WASABIWORKS_MATRIX_SEED" default:"1" description:"seed of the load and of the choice of instances"`
	Rate     float64       `long:"rate" env:"WASABIWORKS_MATRIX_RATE" default:"40" description:"arrivals per second"`
	Parallel int           `long:"parallel" env:"WASABIWORKS_MATRIX_PARALLEL" default:"2" description:"cells that run at once"`
	Report   string        `long:"report" env:"WASABIWORKS_MATRIX_REPORT" description:"file for the table of results"`
	Limit    time.Duration `long:"limit" env:"WASABIWORKS_MATRIX_LIMIT" default:"20m" description:"time after which the run is stopped"`
	List     bool          `long:"list" description:"print the names of the cells"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(s); err != nil {
		fmt.Fprintf(os.Stderr, "matrix: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}

func run(s settings) error {
	cells, err := selectCells(s.Cells)
	if err != nil {
		return err
	}
	if s.List {
		for _, c := range cells {
			fmt.Printf("%s: %s\n", c.Name, c.Fault)
		}
		return nil
	}
	if s.Parallel < 1 || s.Parallel > 4 {
		return fmt.Errorf("--parallel is %d, must be from 1 to 4", s.Parallel)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, s.Limit)
	defer cancel()
	results := runAll(ctx, cells, s)
	if s.Report != "" {
		if err := writeReport(s.Report, results); err != nil {
			return err
		}
	}
	failed := 0
	for _, r := range results {
		if r.Failed() {
			failed++
		}
	}
	fmt.Printf("%d of %d cells passed\n", len(results)-failed, len(cells))
	if failed > 0 || len(results) < len(cells) {
		return errors.New("not all cells passed")
	}
	return nil
}

func selectCells(names []string) ([]*matrix.Cell, error) {
	if len(names) == 0 {
		return matrix.Cells(), nil
	}
	var cells []*matrix.Cell
	for _, name := range names {
		c, err := matrix.Find(name)
		if err != nil {
			return nil, err
		}
		cells = append(cells, c)
	}
	return cells, nil
}

// runAll runs cells, up to s.Parallel at once, and returns their results in the
// order of the cells. Cells that were not started before ctx ended are omitted.
func runAll(ctx context.Context, cells []*matrix.Cell, s settings) []matrix.Result {
	results := make([]*matrix.Result, len(cells))
	slots := make(chan struct{}, s.Parallel)
	var outputMu sync.Mutex
	var wg sync.WaitGroup
	for i, c := range cells {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r := matrix.Run(ctx, c, matrix.Config{Binaries: s.Binaries, Logs: s.Logs, Seed: s.Seed, Rate: s.Rate})
			results[i] = &r
			outputMu.Lock()
			defer outputMu.Unlock()
			matrix.WriteResult(os.Stdout, r)
		})
	}
	wg.Wait()
	var done []matrix.Result
	for _, r := range results {
		if r != nil {
			done = append(done, *r)
		}
	}
	return done
}

func writeReport(file string, results []matrix.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return errors.Join(matrix.WriteTable(f, results, time.Now()), f.Close())
}
