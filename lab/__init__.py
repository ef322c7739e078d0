"""Model of entry VMs, leaves and callers, with experiments on policies."""
