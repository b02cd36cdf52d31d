"""Wire types: immutable msgspec structs, one module for each protocol."""
