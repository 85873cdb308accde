package orderer

import (
	"strconv"

	"github.com/martenport/martenport/table"
)

// identitySeparator stands between name and incarnation; names cannot have it.
const identitySeparator = "#"

// Identity names one start of an instance, as kept in engine records.
func Identity(m table.Member) string {
	return m.Name + identitySeparator + formatIncarnation(m)
}

func formatIncarnation(m table.Member) string {
	return strconv.FormatInt(m.Incarnation, 10)
}
