"""Schedule the jobs of a cell at one leader; other daemons forward to it."""
