"""Validate, publish and follow the configuration; check API keys."""

from basilspindle.config.accepted_configuration import AcceptedConfiguration
from basilspindle.config.document import Document
from basilspindle.config.draft import Draft
from basilspindle.config.history import Head
from basilspindle.config.history import History
from basilspindle.config.identity import Identity
from basilspindle.config.interfaces import ControlLog
from basilspindle.config.interfaces import Peers
from basilspindle.config.key import Key
from basilspindle.config.keyring import digest_key
from basilspindle.config.keyring import Keyring
from basilspindle.config.kind import Kind
from basilspindle.config.limit import Limit
from basilspindle.config.overlay import merge
from basilspindle.config.publication import decode
from basilspindle.config.publication import encode
from basilspindle.config.publication import Publication
from basilspindle.config.queue import Queue
from basilspindle.config.store import ConfigStore
from basilspindle.config.task_resources import TaskResources
from basilspindle.config.timing import Timing
from basilspindle.config.validate import read_accepted
from basilspindle.config.validate import validate
from basilspindle.config.workers import Workers
from basilspindle.config.workspace import Workspace

__all__ = [
    'AcceptedConfiguration',
    'ConfigStore',
    'ControlLog',
    'Document',
    'Draft',
    'Head',
    'History',
    'Identity',
    'Key',
    'Keyring',
    'Kind',
    'Limit',
    'Peers',
    'Publication',
    'Queue',
    'TaskResources',
    'Timing',
    'Workers',
    'Workspace',
    'decode',
    'digest_key',
    'encode',
    'merge',
    'read_accepted',
    'validate',
]
