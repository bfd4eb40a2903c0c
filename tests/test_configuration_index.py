"""Test how a request finds its queue and its workspace."""

import unittest

import hypothesis
from hypothesis import strategies

from basilspindle.cell import configuration_index
from tests import cell_case
from tests import soak

_PATHS = strategies.text(alphabet='/ab', max_size=5).map('/'.__add__)


class QueueTest(unittest.TestCase):
    """Test which queue a request path selects."""

    @soak.settings(200)
    @hypothesis.given(strategies.lists(_PATHS, min_size=1), _PATHS)
    def test_the_longest_prefix_wins(self, prefixes, path):
        """Guard against a request that reaches another queue."""
        queues = [
            cell_case.make_queue(f'q{number}', prefix=prefix, host='H.Example')
            for number, prefix in enumerate(prefixes)
        ]
        index = configuration_index.ConfigurationIndex(
            cell_case.make_configuration(queues)
        )
        matching = [queue for queue in queues if path.startswith(queue.prefix)]
        expected = max(
            matching, key=lambda queue: len(queue.prefix), default=None
        )
        self.assertEqual(expected, index.queue_of('h.example:80', path))
        self.assertIsNone(index.queue_of('other.example', path))
