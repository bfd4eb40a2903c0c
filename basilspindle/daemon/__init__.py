"""Run the cluster daemon, the process ``basilspindled``."""

from basilspindle.daemon.daemon import Daemon

__all__ = ['Daemon']
