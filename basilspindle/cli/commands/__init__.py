"""Define the commands, one command or command group per module."""
