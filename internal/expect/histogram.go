package expect

import "math"

// histogram is a histogram of ratios on a logarithmic scale, in which older
// observations lose weight with each new one. The zero value is empty.
type histogram struct {
	weights [bins]float32
	// total is the sum of the weights. gain is the weight of a new observation. It
	// grows instead of the older weights being reduced.
	total, gain float64
}

const (
	// binsPerOctave gives bins that are 19% wide. Quantiles are interpolated within
	// a bin.
	binsPerOctave = 4
	// minExponent and maxExponent bound the powers of two that a histogram tells
	// apart: ratios from 1/256 to 4096, or 4 ms to 68 min where nothing is declared.
	minExponent = -8
	maxExponent = 12
	bins        = (maxExponent - minExponent) * binsPerOctave
	// maxGain is the gain beyond which the weights are scaled down, far below the
	// largest float32.
	maxGain = 1e9
)

// binMeans has the mean ratio of each bin, with ratios spread evenly on the
// logarithmic scale.
var binMeans = func() [bins]float64 {
	var means [bins]float64
	for i := range means {
		low, high := math.Exp2(exponentOf(float64(i))), math.Exp2(exponentOf(float64(i+1)))
		means[i] = (high - low) / math.Log(high/low)
	}
	return means
}()

// exponentOf returns the power of two at a position on the scale of bins.
func exponentOf(position float64) float64 { return minExponent + position/binsPerOctave }

// positionOf returns the position of a ratio on the scale of bins, from 0 to bins.
func positionOf(ratio float64) float64 {
	return min(max((math.Log2(ratio)-minExponent)*binsPerOctave, 0), bins)
}

// binOf returns the bin of a ratio. Ratios beyond the scale are in its outer bins.
func binOf(ratio float64) int { return min(int(positionOf(ratio)), bins-1) }

// observations returns the weight of the observations, in which the last one counts
// fully.
func (h *histogram) observations() float64 {
	if h.gain == 0 {
		return 0
	}
	return h.total / h.gain
}

// age reduces the weight of the present observations before one of the given weight
// is added. A history of memory observations has lost a factor of e of its weight.
func (h *histogram) age(weight, memory float64) {
	if h.gain == 0 {
		h.gain = 1
	}
	h.gain *= 1 + weight/memory
	if h.gain < maxGain {
		return
	}
	for i := range h.weights {
		h.weights[i] /= float32(h.gain)
	}
	h.total /= h.gain
	h.gain = 1
}

// add adds an observation of the given weight.
func (h *histogram) add(bin int, weight, memory float64) {
	h.age(weight, memory)
	h.weights[bin] += float32(weight * h.gain)
	h.total += weight * h.gain
}

// addBeyond adds an observation of which only a lower bound is known. Its weight is
// spread over the bins from the given one on, in proportion to d.
func (h *histogram) addBeyond(bin int, weight, memory float64, d *Distribution) {
	beyond := 0.0
	for _, share := range d.shares[bin:] {
		beyond += float64(share)
	}
	if beyond < minTailShare {
		// Nothing known lies beyond the bound.
		h.add(bin, weight, memory)
		return
	}
	h.age(weight, memory)
	for i := bin; i < bins; i++ {
		h.weights[i] += float32(weight * h.gain * float64(d.shares[i]) / beyond)
	}
	h.total += weight * h.gain
}
