"""Translate between the cell and the users' platform; nothing else."""
