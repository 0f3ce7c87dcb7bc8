"""A test world for the whole system: real processes on loopback addresses, and stand-ins for their callers.

This package owns the stand-ins for clients, upstream hosts, operator and platform, and the judge of what they
saw. It never looks inside the program under test: not at its logs for a verdict, nor at its state.
"""
