"""Route requests to the daemon that owns a workspace's partition."""

from basilspindle.routing.calls import Calls
from basilspindle.routing.retry_budget import RetryBudget
from basilspindle.routing.router import Caller
from basilspindle.routing.router import OwnerLookup
from basilspindle.routing.router import Router

__all__ = ['Caller', 'Calls', 'OwnerLookup', 'RetryBudget', 'Router']
