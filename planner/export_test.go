package planner

// Known returns the number of jobs that the catalog holds anything of.
func (c *Catalog) Known() int { return len(c.jobs) }
