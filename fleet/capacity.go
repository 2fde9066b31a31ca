package fleet

import (
	"math"
	"slices"

	ramp "sycamoreramp.example/sycamoreramp"
)

// weakShare is the share of the strongest daemon's processor below which a daemon counts
// as weak. Work that takes a strong machine a few milliseconds takes a weak one a good
// part of a latency objective.
const weakShare = 0.5

// processorsOf returns the processors of the daemons, of which an unknown one counts as
// average, and reports whether some of them are weak. Without a weak one capacity decides
// nothing.
func processorsOf(daemons []ramp.Daemon) (processors []float64, uneven bool) {
	var sum, highest float64
	known := 0
	for _, d := range daemons {
		if d.Capacity.Processor > 0 {
			sum += d.Capacity.Processor
			highest = max(highest, d.Capacity.Processor)
			known++
		}
	}
	if known == 0 {
		return nil, false
	}
	processors = make([]float64, len(daemons))
	for i, d := range daemons {
		processors[i] = d.Capacity.Processor
		if processors[i] <= 0 {
			processors[i] = sum / float64(known)
		}
		uneven = uneven || processors[i] < weakShare*highest
	}
	return processors, uneven
}

// weakness returns a function that reports whether a daemon is weak among the given ones.
func weakness(daemons []ramp.Daemon) func(ramp.Daemon) bool {
	highest := 0.0
	for _, d := range daemons {
		highest = max(highest, d.Capacity.Processor)
	}
	return func(d ramp.Daemon) bool {
		return d.Capacity.Processor > 0 && d.Capacity.Processor < weakShare*highest
	}
}

// strongest returns the daemons without the weak ones.
func strongest(daemons []ramp.Daemon) []ramp.Daemon {
	return slices.DeleteFunc(slices.Clone(daemons), weakness(daemons))
}

// equivalents returns the number of the given daemons, or, if some members of the fleet are
// weak, the number of strongest ones that have as much processor time, at least 1.
func equivalents(daemons, members []ramp.Daemon) int {
	processors, uneven := processorsOf(members)
	if !uneven || len(daemons) == 0 {
		return len(daemons)
	}
	own, _ := processorsOf(daemons)
	var sum float64
	for _, p := range own {
		sum += p
	}
	return max(1, int(math.Round(sum/slices.Max(processors))))
}

// delegateWeights returns the weights of the candidates in rendezvous hashing, or nil if
// all are equal.
func delegateWeights(candidates []ramp.Daemon) []float64 {
	processors, uneven := processorsOf(candidates)
	if !uneven {
		return nil
	}
	return processors
}

// highestHash returns the index of the daemon with the highest weight for a key in
// rendezvous hashing. A daemon's probability to be chosen is proportional to its weight;
// without weights all are equal.
func highestHash(key uint64, hashes []uint64, weights []float64) int {
	best := 0
	if weights == nil {
		highest := uint64(0)
		for n, hash := range hashes {
			if mixed := mixHashes(key, hash); mixed >= highest {
				best, highest = n, mixed
			}
		}
		return best
	}
	highest := math.Inf(-1)
	for n, hash := range hashes {
		uniform := (float64(mixHashes(key, hash)) + 1) / math.MaxUint64 // above 0
		if score := -weights[n] / math.Log(min(uniform, 1-1e-12)); score > highest {
			best, highest = n, score
		}
	}
	return best
}
