package orderer

import (
	"strconv"

	"github.com/martenport/martenport/table"
)

// identitySeparator separates the name from the incarnation; it cannot occur in a name.
const identitySeparator = "#"

// Identity returns the name and incarnation of an instance, as stored in engine records.
func Identity(m table.Member) string {
	return m.Name + identitySeparator + formatIncarnation(m)
}

func formatIncarnation(m table.Member) string {
	return strconv.FormatInt(m.Incarnation, 10)
}
