package entry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxSharedParts is the number of prompt parts that a log line names.
const maxSharedParts = 3

// sharedParts returns, for log lines, which parts of prompts most of the attempts without an event have, as ID:TOKENS
// with their counts. The last part of each prompt is the request's own.
func sharedParts(attempts []timedAttempt) string {
	counts := map[string]int{}
	for _, a := range attempts {
		if a.RunTime > 0 || len(a.PromptParts) < 2 {
			continue
		}
		for _, part := range a.PromptParts[:len(a.PromptParts)-1] {
			counts[part]++
		}
	}
	parts := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var names []string
	for _, part := range parts[:min(maxSharedParts, len(parts))] {
		names = append(names, fmt.Sprintf("%s=%d", part[:min(len(part), maxPartName)], counts[part]))
	}
	return strings.Join(names, " ")
}

// maxPartName is the number of bytes of a part that a log line has.
const maxPartName = 40
