"""Spreads entry hosts evenly over replicas or searchers, without communication."""

import xxhash


def spread_weight(host_id: str, target: str) -> int:
    """Returns the weight of a target for a host, which takes the least one.

    The weights of two hosts are unrelated, and a target that is added or removed
    changes the choice of those hosts alone that it concerns.
    """
    return xxhash.xxh32_intdigest(f"{host_id} {target}".encode())
