"""Manage the jobs of owned partitions: queue, place, end, recover."""

from basilspindle.coordinator.coordinator import Coordinator
from basilspindle.coordinator.holder import Holders
from basilspindle.coordinator.timing import Timing

__all__ = ['Coordinator', 'Holders', 'Timing']
