package bench

import (
	"fmt"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plottedMeasures are the measures that Draw plots. The decimal logarithm is
// plotted where the policies differ by orders of magnitude.
var plottedMeasures = []struct {
	measure, title string
	logarithmic    bool
}{
	{"urgentWaitP99", "Urgent wait, 99th percentile (s)", true},
	{"meanSlowdown", "Mean slowdown", true},
	{"fragmentation", "Free accelerators that cannot serve the largest guaranteed gang (share)", false},
	{"utilisation", "Utilisation while jobs arrive (share)", false},
}

// Draw writes one SVG file for each of the main measures into the directory, with
// the median over the seeds by workload and policy.
func (r *Report) Draw(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create plot directory: %w", err)
	}
	for _, f := range plottedMeasures {
		p := plot.New()
		p.Title.Text = f.title
		p.Y.Min = 0
		scale := func(v float64) float64 { return v }
		if f.logarithmic {
			p.Y.Label.Text = "log10"
			scale = func(v float64) float64 { return math.Log10(max(v, 1)) }
		}
		if err := r.addBars(p, f.measure, scale); err != nil {
			return fmt.Errorf("draw %s: %w", f.measure, err)
		}
		if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, f.measure+".svg")); err != nil {
			return fmt.Errorf("save %s: %w", f.measure, err)
		}
	}
	return nil
}

func (r *Report) addBars(p *plot.Plot, measure string, scale func(float64) float64) error {
	const width = 14
	names := make([]string, len(r.Workloads))
	for i, workload := range r.Workloads {
		names[i] = workload.Name
	}
	for k, policy := range r.Policies {
		values := make(plotter.Values, len(r.Workloads))
		for i := range r.Workloads {
			values[i] = scale(r.Median(i, k, measure))
		}
		b, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return fmt.Errorf("bars of %s: %w", policy.Name, err)
		}
		b.Color = plotutil.Color(k)
		b.Offset = vg.Points(width * (float64(k) - float64(len(r.Policies)-1)/2))
		p.Add(b)
		p.Legend.Add(policy.Name, b)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return nil
}
