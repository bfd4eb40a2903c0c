"""Implement the command-line tool ``basilspindle``."""
