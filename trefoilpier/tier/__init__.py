"""The daemon that runs on each VM of the tier."""
