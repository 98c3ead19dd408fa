package report

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
)

// tableMetrics are the columns of the table for people.
var tableMetrics = []string{
	"latency_p50", "latency_p95", "latency_p99", "latency_all_p50", "latency_all_p95", "in_time_share", "goodput", "refused_share",
	"failed_share", "hung_up_share", "unfinished_share", "recomputed_prompt_tokens", "ended_cache_longest",
	"latency_p95_urgent", "latency_p95_interactive", "latency_p95_batch", "makespan",
}

// TSV formats the rows as results.tsv.
func TSV(rows []Row) []byte {
	var b bytes.Buffer
	b.WriteString("workload\tload\tpolicy\tmetric\tvalue\tunit\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Workload, formatLoad(r.Load), r.Policy, r.Metric, formatValue(r.Value), r.Unit)
	}
	return b.Bytes()
}

func formatLoad(l float64) string { return strconv.FormatFloat(l, 'f', 1, 64) }

// formatValue keeps six significant digits, which hides differences in the last bits of a float.
func formatValue(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

type key struct {
	workload string
	load     float64
	policy   string
}

// index returns the values by cell and metric, and the cells in order.
func index(rows []Row) (map[key]map[string]float64, []key) {
	values := map[key]map[string]float64{}
	var order []key
	for _, r := range rows {
		k := key{r.Workload, r.Load, r.Policy}
		if values[k] == nil {
			values[k] = map[string]float64{}
			order = append(order, k)
		}
		values[k][r.Metric] = r.Value
	}
	return values, order
}

// Table formats the main metrics for people, one line per cell.
func Table(rows []Row) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "workload\tload\tpolicy\t%s\t\n", strings.Join(tableMetrics, "\t"))
	values, order := index(rows)
	for _, k := range order {
		fmt.Fprintf(w, "%s\t%s\t%s\t", k.workload, formatLoad(k.load), k.policy)
		for _, m := range tableMetrics {
			fmt.Fprintf(w, "%s\t", formatCell(values[k][m]))
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	return b.String()
}

func formatCell(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 10:
		return strconv.FormatFloat(v, 'f', 3, 64)
	case v < 1e6:
		return strconv.FormatFloat(v, 'f', 0, 64)
	default:
		return strconv.FormatFloat(v/1e6, 'f', 1, 64) + "M"
	}
}
