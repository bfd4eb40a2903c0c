"""Serve the HTTP interface for callers and operators."""

from basilspindle.api.app import create_app
from basilspindle.api.member_body import MemberBody
from basilspindle.api.metrics import Metrics
from basilspindle.api.services import Services
from basilspindle.api.worker_body import WorkerBody

__all__ = ['MemberBody', 'Metrics', 'Services', 'WorkerBody', 'create_app']
