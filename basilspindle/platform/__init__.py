"""Adapters that connect the cell to the users' platform."""
