"""Benchmarks of the live program on loopback: the socket floor, direct calls and calls through a box in
one run.
"""
