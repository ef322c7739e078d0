"""A randomized soak: real VMs as processes, faults from outside them."""
