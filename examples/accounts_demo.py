"""The part of the demo with two client accounts, of which one is over its quota.

It runs a tier of routed requests (docs/client-accounts.md): one control replica, one
entry host and one stand-in searcher.
"""

import json
import time
import urllib.error
import urllib.request
from collections import Counter

from demo_support import DemoFailedError, free_address, free_ports, wait_for

HOST = "demo.example"
TARGET = "/card/1"
REQUESTS = 200
REQUEST_INTERVAL_S = 0.02  # ten times the quota of the account with a limit
REPLICA_PORTS = 3  # a replica uses its --listen port and the next two
UNLIMITED, LIMITED = "acme", "globex"
KEYS = {UNLIMITED: "demo-key-of-acme", LIMITED: "demo-key-of-globex"}
CONFIGURATION = {
    "version": 1,
    "services": [{"name": "cards"}],
    "routes": [
        {
            "name": "card",
            "host": HOST,
            "path_prefix": "/card/",
            "kind": "idempotent",
            "timeout_ms": 1000,
            "aim_ms": 100,
            "attempts": 2,
            "target": {"type": "OneOf", "shares": [{"service": "cards"}]},
        }
    ],
    "accounts": [
        {"name": UNLIMITED, "keys": [KEYS[UNLIMITED]]},
        {"name": LIMITED, "keys": [KEYS[LIMITED]], "rate_per_s": 5, "burst": 5},
    ],
}


def send(gateway, key=None):
    """Sends a request with a key; returns the status, 0 without a reply."""
    headers = {"Host": HOST}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    request = urllib.request.Request(f"http://{gateway}{TARGET}", headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=10) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def send_for_a_while(gateway, key):
    """Sends REQUESTS requests and counts the statuses of the replies."""
    counts = Counter()
    for _ in range(REQUESTS):
        counts[send(gateway, key)] += 1
        time.sleep(REQUEST_INTERVAL_S)
    return counts


def start_routed_tier(demo):
    """Starts control, the entry host and the searcher; returns their addresses."""
    registry = f"127.0.0.1:{free_ports(REPLICA_PORTS, demo.port_ranges)}"
    gateway = free_address()
    demo.start(
        "registry",
        *("-m", "plantainstage._programs.registry", "--listen", registry),
        *("--seed", registry, "--found", "--data-folder", demo.folder / "registry"),
    )
    demo.start(
        "gateway",
        *("-m", "plantainstage._programs.gateway", "--registry", registry),
        *("--listen", gateway, "--ready-listen", free_address()),
    )
    demo.start(
        "searchers-routed",
        *("examples/standin_routed_searcher.py", "--service", "cards"),
        *("--listen", free_address(), "--registry", registry),
    )
    return registry, gateway


def show_accounts(demo):
    """Sends requests of both accounts; only the one over its quota is refused."""
    print("Two client accounts, one of them with a quota of 5 requests a second:")
    registry, gateway = start_routed_tier(demo)
    file = demo.folder / "accounts.json"
    file.write_text(json.dumps(CONFIGURATION), encoding="utf-8")
    demo.ctl("routes", "put", file, "--timeout", "20", controls=[registry])
    wait_for(lambda: send(gateway, KEYS[UNLIMITED]) == 200, "an account is served")
    # A ledger of quotas that has just begun has no permits to give away at first.
    wait_for(lambda: send(gateway, KEYS[LIMITED]) == 200, "a quota has permits")
    statuses = {name: send_for_a_while(gateway, key) for name, key in KEYS.items()}
    statuses["no account"] = Counter([send(gateway)])
    for name, counts in statuses.items():
        parts = (f"{n} with {status}" for status, n in sorted(counts.items()))
        print(f"  requests of {name}: {', '.join(parts)}")
    demo.ctl("accounts", controls=[registry])
    check(statuses)


def check(statuses):
    """Raises DemoFailedError unless exactly the right requests were refused."""
    if set(statuses[UNLIMITED]) != {200}:
        raise DemoFailedError("an account without a quota was refused")
    if set(statuses[LIMITED]) != {200, 429}:
        raise DemoFailedError("the account over its quota was not refused with 429")
    if set(statuses["no account"]) != {401}:
        raise DemoFailedError("a request without a key was not refused with 401")
