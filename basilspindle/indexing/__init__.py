"""Data structures that the schedulers of both deployments share."""
