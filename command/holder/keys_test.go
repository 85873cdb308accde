package holder

import "testing"

// TestKeyOfLimits: records that other builds have written are found. What they hold is checked in package entry.
func TestKeyOfLimits(t *testing.T) {
	if prefixReplicas != "replicas/" {
		t.Errorf("limits lie under %q; other builds have them under replicas/", prefixReplicas)
	}
}
