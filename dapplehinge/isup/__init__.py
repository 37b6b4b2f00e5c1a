"""The platform's binary trunk messages: codec only, without I/O."""
