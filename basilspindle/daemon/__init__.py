"""Assemble and run the daemon."""

from basilspindle.daemon.daemon import Daemon

__all__ = ['Daemon']
