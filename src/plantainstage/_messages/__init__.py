"""Wire types: immutable msgspec structs, one module for each protocol.

The names of fields and of tagged classes, and the values of enumerations, are part
of the protocols. Structs with ``array_like`` are encoded by position, so that the
order of their fields is part of the protocol as well.
"""
