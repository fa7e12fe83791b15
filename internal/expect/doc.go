// Package expect learns from finished runs how long a run takes.
//
// A run is reduced to the ratio of its run time, on a sound worker near its data, to
// the time that its job declares, or to one second where nothing is declared. A Model
// keeps histograms of the ratios at four levels, from wide to narrow: all runs, those
// of a queue, those of a workspace in a queue, and among these the ones of a size and
// an image. Each level is shrunk towards the wider one, so that the narrowest decides
// once it has enough observations. Older observations lose weight with each new one.
//
// The two wide levels mix the runs of workspaces. Ratios count there between 1/2 and
// 2 only, so that the runs of other workspaces change a mean or a quantile by a factor
// of at most four. Runs without a declared time have no ratio to bound and learn from
// their own workspace alone.
//
// A Model performs no I/O, holds no locks, and is not safe for concurrent use. Its
// memory is bounded: at most 1024 queues and 512 workspaces of 48 cells each, of about
// half a kilobyte a cell.
//
// # Usage
//
//	model := expect.NewModel()
//	model.Observe(expect.Run{Key: expect.KeyOf(unit), Elapsed: 3 * time.Second})
//	d := model.Expect(expect.KeyOf(unit))
//	if d.Known() {
//		fmt.Println(d.Mean(), d.Quantile(0.9), d.Remaining(time.Second))
//	}
package expect
