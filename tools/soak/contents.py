"""The content of answers: searchers send it, and the checks compute it again."""

import hashlib
import heapq

RECORD_BYTES = 16
RECORDS_PER_PART = 5
TOP_RECORDS = 4
SHARDS = tuple(f"shard-{number}" for number in range(4))


def single_body(request_id: str) -> bytes:
    """Returns the body of the answer to a request that one searcher serves."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 30


def part_body(request_id: str, service: str) -> bytes:
    """Returns the records of one shard for a request."""
    records = [
        hashlib.sha256(f"{request_id}/{service}/{number}".encode()).digest()
        for number in range(RECORDS_PER_PART)
    ]
    return b"".join(record[:RECORD_BYTES] for record in records)


def gathered_body(request_id: str, services) -> bytes:
    """Returns the greatest records of these shards in descending order."""
    joined = b"".join(part_body(request_id, service) for service in services)
    records = [
        joined[at : at + RECORD_BYTES] for at in range(0, len(joined), RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(TOP_RECORDS, records))


def signature(request_id: str, service: str) -> str:
    """Returns the signature of a searcher's answer."""
    return f"{service}.{request_id}"


def configuration(version: int, first_kept: int) -> dict:
    """Returns a configuration with a route for each version since ``first_kept``."""
    routes = [
        _route("/read/", "idempotent", _one_of("cards")),
        _route("/card/", "at_most_once", _one_of("cards")),
        _route(
            "/all/",
            "idempotent",
            {
                "type": "AllOf",
                "shards": list(SHARDS),
                "top_records": TOP_RECORDS,
                "minimum_coverage": 0.5,
            },
        ),
    ]
    routes += [
        _route(f"/v{number}/", "idempotent", _one_of("cards"))
        for number in range(first_kept, version + 1)
    ]
    services = [{"name": name, "connections": 40} for name in ("cards", *SHARDS)]
    return {"version": version, "routes": routes, "services": services}


def _one_of(service):
    return {"type": "OneOf", "shares": [{"service": service}]}


def _route(prefix, kind, target):
    return {
        "name": f"r{prefix}",
        "host": "soak.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1500,
        "aim_ms": 300,
        "attempts": 2,
        "target": target,
    }
