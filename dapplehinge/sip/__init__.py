"""SIP over TCP (RFC 3261) as the platform's callers speak it: codec only, without I/O."""
