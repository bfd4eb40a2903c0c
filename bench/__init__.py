"""Measure the system."""
