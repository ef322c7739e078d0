"""Small stand-ins for what stands around the system, for tests and demos."""
