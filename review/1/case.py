"""Heartbeats of another writer hold a number that no program of 64 bits holds."""

import json
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import (  # noqa: E402
    BOUNDS,
    FRONT_PORT,
    SEARCHER_PORT,
    CannotRunError,
    Client,
    Operator,
    configuration,
    http_call,
    run_case,
    service,
    start_control,
)

HEARTBEAT_S = 1.2
STABLE_S = BOUNDS["stableWindowMs"] / 1000
APPLY_S = BOUNDS["configApplyMs"] / 1000
SEARCHERS = 6
SEQUENCE = 2**64
WRITER_S = 45.0
PROBES = 20
PROBE_INTERVAL_S = 0.5


def route(number):
    """Returns a route whose prefix holds its number."""
    return {
        "name": f"r-{number}",
        "host": "a.example",
        "pathPrefix": f"/x{number}/",
        "kind": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 100,
        "priority": 1,
        "service": "s-1",
        "maxAttempts": 2,
    }


def document(version):
    """Returns a configuration with a route more in each version."""
    routes = [route(number) for number in range(1, version + 1)]
    return configuration(version, routes=routes, services=[service("s-1")])


def foreign_heartbeat(record, machine, sequence):
    """Sends one heartbeat of another writer, which names no service of this system."""
    body = {
        "service": "unnamed",
        "address": "127.0.0.1:9",
        "zone": "elsewhere",
        "version": "v9",
        "slots": 1,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": sequence,
        "born": 1,
    }
    answer = http_call(
        machine.control,
        "POST",
        "/api/instances/other-writer/heartbeat",
        body=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
    )
    outcome = "no answer" if answer is None else answer[0]
    record.add(f"other writer: seq {sequence} to {machine.name}: {outcome}")


def write_heartbeats(record, machines, sequence, stopping):
    """Sends heartbeats as a searcher does, to one node after the other."""
    turn = 0
    while not stopping.wait(HEARTBEAT_S):
        foreign_heartbeat(record, machines[turn % len(machines)], sequence)
        turn += 1


def probe(client, fronts, number):
    """Sends one request on a route to each host; returns the statuses."""
    statuses = []
    for front in fronts:
        address = f"{front.ip}:{FRONT_PORT}"
        _, answer = client.send(address, f"/x{number}/1", deadline_ms=1500)
        statuses.append(None if answer is None else answer[0])
    return statuses


def play(record, deployment, trouble):
    """Plays the case; returns whether the rule held."""
    machines, seeds = start_control(deployment)
    fronts = []
    for number, machine in enumerate(machines):
        front = deployment.add(
            name=f"front-{number}", role="front", number=20 + number, zone=machine.zone
        )
        front.write_settings(seeds=seeds, bootstrap=True)
        front.start()
        fronts.append(front)
    for number in range(SEARCHERS):
        first = number % len(seeds)
        deployment.start_searcher(
            name=f"i-{number}",
            service="s-1",
            address=f"{deployment.net}.{100 + number}:{SEARCHER_PORT}",
            control=[*seeds[first:], *seeds[:first]],
            zone=machines[first].zone,
        )
    operator = Operator(record, machines)
    if not operator.put(document(1), within_s=20.0):
        raise CannotRunError("the first configuration was not accepted")
    client = Client(record)
    until = time.monotonic() + 20.0
    while set(probe(client, fronts, 1)) != {200}:
        if time.monotonic() > until:
            raise CannotRunError("the hosts do not serve")
        time.sleep(0.5)
    time.sleep(STABLE_S)
    stopping = threading.Event()
    sequence = 7 if trouble == "0" else SEQUENCE
    arguments = (record, machines, sequence, stopping)
    writer = threading.Thread(target=write_heartbeats, args=arguments)
    writer.start()
    try:
        time.sleep(STABLE_S)
        held = play_change(record, operator, client, fronts)
        time.sleep(WRITER_S - STABLE_S - APPLY_S - PROBES * PROBE_INTERVAL_S)
    finally:
        stopping.set()
        writer.join()
    record.add("the other writer has ended")
    time.sleep(3 * STABLE_S)
    for number in (1, 2):
        record.add(f"route {number} at the end: {probe(client, fronts, number)}")
    operator.read(within_s=BOUNDS["ackMs"] / 1000)
    for machine in [*machines, *fronts]:
        running = machine.process.poll() is None
        record.add(f"{machine.name}: {'runs' if running else 'has ended'}")
    return held


def play_change(record, operator, client, fronts):
    """Adds a route; returns whether all hosts know it in time."""
    if not operator.put(document(2), within_s=BOUNDS["ackMs"] / 1000):
        raise CannotRunError("version 2 was not acknowledged")
    time.sleep(APPLY_S + 0.5)
    record.add("version 2 is due on all hosts, its new route is /x2/")
    denied = 0
    for _ in range(PROBES):
        denied += probe(client, fronts, 2).count(404)
        time.sleep(PROBE_INTERVAL_S)
    record.add(f"{denied} of {PROBES * len(fronts)} requests on the new route: 404")
    return denied == 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
