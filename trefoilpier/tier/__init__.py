"""One process of the tier on the users' platform."""
