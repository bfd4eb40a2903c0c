"""Demonstrate a whole cell on one machine."""
