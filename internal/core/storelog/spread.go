package storelog

import "time"

// Spread returns the time over which calls are to be spread at random that a number of instances
// make each after the store came back from an older copy. All together then take a share of the
// calls that the store accepts a second.
func Spread(instances, callsEach int, callsPerSecond, share float64) time.Duration {
	if callsPerSecond <= 0 || share <= 0 {
		return 0
	}
	return time.Duration(float64(instances*callsEach) / (share * callsPerSecond) * float64(time.Second))
}
