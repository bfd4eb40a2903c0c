"""Decide what is accepted, in which order it runs, and where.

Nothing here does I/O or reads a clock: the state of the cell and the time are
arguments.
"""
