"""Offer the command-line tool ``basilspindle``."""
