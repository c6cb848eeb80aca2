package scenario

import "sync"

// concurrentRuns is the number of rows that are computed in parallel.
const concurrentRuns = 3

// computeRows computes the n rows of a table in parallel and returns them in order.
func computeRows(n int, row func(i int) []string) [][]string {
	result := make([][]string, n)
	next := make(chan int)
	var wg sync.WaitGroup
	for range concurrentRuns {
		wg.Go(func() {
			for i := range next {
				result[i] = row(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	return result
}
