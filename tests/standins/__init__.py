"""Stand-ins for the platform; they record breaches, never prevent them."""
