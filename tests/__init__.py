"""Test basilspindle; log lines of the code under test are not shown."""

import loguru

loguru.logger.remove()
