package lab

import "testing"

func TestZZ(t *testing.T) {
	v, _ := Without("RejectKnown")
	simulate(generate(200, Setup{Load: 1.6, Zones: 3, CoordinatorsPerZone: 12, Fault: NoFault, TaskSize: 0.45}), 200, v.Policies)
}
