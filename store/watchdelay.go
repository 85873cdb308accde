package store

import "time"

// MaxWatchDelay is the longest time after the acknowledgement of a change for which a Watch may still end without it. So
// a Watch that ends without a change only confirms the state of that long before its end.
const MaxWatchDelay = time.Second
