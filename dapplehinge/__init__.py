"""dapplehinge: the decisions of a call controller in a network of exchanges.

The decisions live in `dapplehinge.rules`, their types in `dapplehinge.interface`.
"""

from dapplehinge.rules import Controller

__all__ = ["Controller"]
