package admission

import "time"

// SetEvacuated replaces the evacuated failure domains. It returns the changes.
func (c *Controller) SetEvacuated(domains []string) []EvacuationChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.core.SetEvacuated(time.Now(), domains)
	c.countLimits()
	return changes
}

// Evacuations returns the evacuated failure domains.
func (c *Controller) Evacuations() []EvacuationStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Evacuations(time.Now())
}
