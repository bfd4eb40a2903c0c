"""Benchmarks; each script prints one JSON object a line."""
