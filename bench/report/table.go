package report

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// textTableMetrics are the columns of the table on standard output.
var textTableMetrics = []string{
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

type caseKey struct {
	workload string
	load     float64
	policy   string
}

// valuesByCase returns the values by case and metric, and the cases in the order of their first rows.
func valuesByCase(rows []Row) (map[caseKey]map[string]float64, []caseKey) {
	values := map[caseKey]map[string]float64{}
	var order []caseKey
	for _, r := range rows {
		k := caseKey{r.Workload, r.Load, r.Policy}
		if values[k] == nil {
			values[k] = map[string]float64{}
			order = append(order, k)
		}
		values[k][r.Metric] = r.Value
	}
	return values, order
}

// TextTable formats the main metrics with aligned columns, one line per case.
func TextTable(rows []Row) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "workload\tload\tpolicy\t%s\t\n", strings.Join(textTableMetrics, "\t"))
	values, order := valuesByCase(rows)
	for _, k := range order {
		fmt.Fprintf(w, "%s\t%s\t%s\t", k.workload, formatLoad(k.load), k.policy)
		for _, m := range textTableMetrics {
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

// targets are those of the policy shipped: the maximum ratio of its metric to that of the other policy.
var targets = []struct {
	metric, other string
	maxRatio      float64
}{
	{"latency_p95", "baseline", 0.6},
	{"latency_all_p95", "baseline", 0.6},
	{"latency_p95", "affinity", 0.75},
	{"latency_p95", "clairvoyant", 1.25},
	{"latency_p50", "baseline", 0.4},
	{"recomputed_prompt_tokens", "baseline", 1.0 / 3},
}

// hasTargets reports whether the targets apply at a load.
func hasTargets(load float64) bool { return load == 1.0 || load == 1.3 }

// TargetTable formats a Markdown table of the policy shipped against its targets at the saturated loads.
func TargetTable(rows []Row) string {
	var b strings.Builder
	values, order := valuesByCase(rows)
	fmt.Fprintln(&b, "| workload | load | metric | to | ratio | target | reached |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|---|")
	for _, k := range order {
		if k.policy != "shipped" || !hasTargets(k.load) {
			continue
		}
		for _, t := range targets {
			other := values[caseKey{k.workload, k.load, t.other}][t.metric]
			if other == 0 {
				continue
			}
			ratio := values[k][t.metric] / other
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %.3f | %.3f | %s |\n",
				k.workload, formatLoad(k.load), t.metric, t.other, ratio, t.maxRatio, yesNo(ratio <= t.maxRatio))
		}
	}
	b.WriteString(goodputRows(values, order))
	return b.String()
}

// minGoodputRatio is the minimum ratio of the goodput of shipped to its peak at the loads 1.3 and 2.0. The peak is over
// the loads up to the row's own: a larger load can finish more programs, which is no loss.
const minGoodputRatio = 0.9

func goodputRows(values map[caseKey]map[string]float64, order []caseKey) string {
	var b strings.Builder
	peak := map[string]float64{}
	for _, k := range order {
		if k.policy != "shipped" {
			continue
		}
		peak[k.workload] = max(peak[k.workload], values[k]["goodput"])
		if k.load >= 1.3 {
			ratio := values[k]["goodput"] / peak[k.workload]
			fmt.Fprintf(&b, "| %s | %s | goodput | its peak up to this load | %.3f | at least %.1f | %s |\n",
				k.workload, formatLoad(k.load), ratio, minGoodputRatio, yesNo(ratio >= minGoodputRatio))
		}
	}
	return b.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Markdown formats the main metrics as a Markdown table, one row per case.
func Markdown(rows []Row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| workload | load | policy | %s |\n", strings.Join(markdownMetrics, " | "))
	fmt.Fprintf(&b, "|---|---|---|%s\n", strings.Repeat("---|", len(markdownMetrics)))
	values, order := valuesByCase(rows)
	for _, k := range order {
		fmt.Fprintf(&b, "| %s | %s | %s |", k.workload, formatLoad(k.load), k.policy)
		for _, m := range markdownMetrics {
			fmt.Fprintf(&b, " %s |", formatCell(values[k][m]))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// markdownMetrics are the columns of the table in docs/decisions.md.
var markdownMetrics = []string{
	"latency_p50", "latency_p95", "latency_p99", "latency_all_p50", "latency_all_p95", "in_time_share", "goodput", "refused_share", "failed_share",
	"hung_up_share", "unfinished_share", "recomputed_prompt_tokens", "ended_cache_longest", "latency_p95_urgent",
}

// ReplaceTables writes between these lines of docs/decisions.md.
const (
	tableBeginMarker = "<!-- results: begin (written by make bench) -->\n"
	tableEndMarker   = "<!-- results: end -->\n"
)

// ReplaceTables replaces the tables between the marker lines of a page. A missing marker is an error.
func ReplaceTables(path string, rows []Row) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the page for the tables of results")
	}
	head, rest, ok := strings.Cut(string(page), tableBeginMarker)
	_, tail, closed := strings.Cut(rest, tableEndMarker)
	if !ok || !closed {
		return errors.Newf("%s has no lines %q and %q", path, strings.TrimSpace(tableBeginMarker), strings.TrimSpace(tableEndMarker))
	}
	out := head + tableBeginMarker + "\n" + TargetTable(rows) + "\n" + Markdown(rows) + "\n" + tableEndMarker + tail
	return errors.Wrap(os.WriteFile(path, []byte(out), 0o644), "write the page with the tables of results")
}
