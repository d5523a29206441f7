package admission

// Speeds returns the observed speeds of the services that are scheduled by them.
func (c *Controller) Speeds() []SpeedStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Speeds()
}
