"""Measure the parts of the project; each script prints JSON lines."""
