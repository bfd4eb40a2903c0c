"""Stand-ins for the log, the VM list, workers and the peer network.

They accept a request that breaks an invariant and record it as a breach.
"""
