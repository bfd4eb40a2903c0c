"""Lead a cell: one daemon decides, the others forward to it."""
