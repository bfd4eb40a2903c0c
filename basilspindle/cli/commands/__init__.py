"""Hold one command, or group of commands, in each module."""
