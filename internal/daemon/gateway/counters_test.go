package gateway

// cutResponses returns the responses that the router has cut, by cause.
func (n *testNode) cutResponses() map[string]float64 {
	n.t.Helper()
	families, err := n.registry.Gather()
	if err != nil {
		n.t.Fatal(err)
	}
	cut := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "gooseberrytide_cut_responses_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			cut[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return cut
}
