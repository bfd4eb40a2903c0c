"""Show the whole path on one machine."""
