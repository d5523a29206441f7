package admission

// Speeds returns the observed speeds of the services whose servers announce their pace.
func (c *Controller) Speeds() []SpeedStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Speeds()
}
