"""Who is there: decisions on the life of parties, without I/O.

vigil.py   whether the party at the far end of a leg still lives
"""
