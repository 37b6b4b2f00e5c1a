"""Settings of a box: JSON5 with positions (source.py), the schema (schema.py), and the typed result
(load.py).
"""
