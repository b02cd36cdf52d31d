"""A request that crashes searchers comes again after all processes were killed."""

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
    run_case,
    service,
    start_control,
)

CRASH_PATH = "/x/crash/"
SEARCHERS = 12
SEARCHER_DOWN_S = 3.0
DEADLINE_MS = 10000
CLIENT_RETRIES = 1  # of the kinds of requests in the site file
BETWEEN_S = 1.5
STABLE_S = BOUNDS["stableWindowMs"] / 1000
DOWN_S = 0.9
# A break of the rule takes more than three.
RETRIES_ALLOWED = 3
ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "pathPrefix": "/x/",
    "kind": "safe",
    "timeoutMs": DEADLINE_MS,
    "targetLatencyMs": 600,
    "priority": 1,
    "service": "s-1",
    "maxAttempts": 2,
}


class Searchers:
    """Keeps the searchers running: one that has ended is back under a new id."""

    def __init__(self, record, deployment, control):
        self.record, self.deployment, self.control = record, deployment, control
        self.starts = 0
        self.names = {}  # number -> name of its current start
        self.stopping = threading.Event()
        for number in range(SEARCHERS):
            self.start(number)
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def start(self, number):
        """Starts a searcher under a new id."""
        self.starts += 1
        self.names[number] = f"i-{number}-{self.starts}"
        self.deployment.start_searcher(
            name=self.names[number],
            service="s-1",
            address=f"{self.deployment.net}.{100 + number}:{SEARCHER_PORT}",
            control=self.control,
            zone=("upper-canal", "middle-canal", "lower-canal")[number % 3],
            crash_path=CRASH_PATH,
        )

    def watch(self):
        """Starts each searcher again some seconds after it has ended."""
        ended_at = {}
        while not self.stopping.wait(0.05):
            for number, name in self.names.items():
                if self.deployment.searchers[name].poll() is None:
                    continue
                at = ended_at.setdefault(name, time.monotonic())
                if time.monotonic() - at >= SEARCHER_DOWN_S:
                    self.start(number)

    def stop(self):
        """Ends the watch, not the searchers."""
        self.stopping.set()
        self.thread.join()


def journal(deployment, word):
    """Returns (time, request id) of the lines with this word."""
    found = []
    for line in deployment.journal_lines():
        at, _, event, request_id, *rest = line.split()
        crashes = not rest or rest[-1].startswith(CRASH_PATH)
        if event == word and crashes:
            found.append((float(at), request_id))
    return found


def send_with_retries(client, fronts, turn):
    """Sends the request as a client does: once more at another host after a failure."""
    answer = None
    for attempt in range(1 + CLIENT_RETRIES):
        front = fronts[(turn + attempt) % len(fronts)]
        address = f"{front.ip}:{FRONT_PORT}"
        _, answer = client.send(address, CRASH_PATH + "1", deadline_ms=DEADLINE_MS)
        if answer is not None and answer[0] == 503:
            time.sleep(min(float(answer[1].get("retry-after", "0")), 1.0))
    return answer


def wait_served(client, fronts, within_s):
    """Waits until each host serves an ordinary request."""
    until = time.monotonic() + within_s
    for front in fronts:
        address = f"{front.ip}:{FRONT_PORT}"
        while True:
            _, answer = client.send(address, "/x/1", deadline_ms=2000)
            if answer is not None and answer[0] == 200:
                break
            if time.monotonic() > until:
                raise CannotRunError(f"{front.name} does not serve")
            time.sleep(0.3)


def play(record, deployment, trouble):
    """Plays the case; returns whether the rule held."""
    machines, seeds = start_control(deployment)
    fronts = []
    for number, machine in enumerate([*machines, machines[0]]):
        front = deployment.add(
            name=f"front-{number}", role="front", number=20 + number, zone=machine.zone
        )
        front.write_settings(seeds=seeds, bootstrap=True)
        front.start()
        fronts.append(front)
    searchers = Searchers(record, deployment, seeds)
    try:
        return play_requests(record, deployment, machines, fronts, trouble)
    finally:
        searchers.stop()


def play_requests(record, deployment, machines, fronts, trouble):
    """Sends the requests; returns whether the rule held."""
    operator = Operator(record, machines)
    document = configuration(1, routes=[ROUTE], services=[service("s-1", 380)])
    if not operator.put(document, within_s=20.0):
        raise CannotRunError("the configuration was not accepted")
    client = Client(record)
    wait_served(client, fronts, 20.0)
    time.sleep(STABLE_S)
    turn = 0
    for _ in range(4):
        send_with_retries(client, fronts, turn)
        turn += 1
        time.sleep(BETWEEN_S)
    crashes = journal(deployment, "crashes")
    if len(crashes) < 3:
        raise CannotRunError("the request has not crashed three searchers")
    third_at = crashes[2][0]
    record.add(f"{len(crashes)} searchers have crashed")
    time.sleep(max(0.0, third_at + STABLE_S + 0.5 - time.monotonic()))
    for _ in range(3):
        send_with_retries(client, fronts, turn)
        turn += 1
        time.sleep(BETWEEN_S)
    record.add(f"{len(late(deployment, third_at))} late retries have reached searchers")
    if trouble != "0":
        record.add("all processes of the system are killed")
        for machine in deployment.machines:
            machine.process.kill()
        for machine in deployment.machines:
            machine.process.wait()
        time.sleep(DOWN_S)
        for machine in deployment.machines:
            machine.write_settings(seeds=[m.control for m in machines], bootstrap=False)
            machine.start()
        record.add("all processes start again")
    else:
        time.sleep(DOWN_S)
    wait_served(client, fronts, 20.0)
    # All machines are in touch again after this.
    time.sleep(2 * STABLE_S)
    for _ in range(6):
        send_with_retries(client, fronts, turn)
        turn += 1
        time.sleep(BETWEEN_S)
    reached = late(deployment, third_at)
    for at, request_id in reached:
        record.add(f"{request_id} ran {at - third_at:.1f} s after the third crash")
    record.add(f"{len(reached)} late retries have reached searchers")
    record.add(f"{len(journal(deployment, 'crashes'))} searchers have crashed")
    return len(reached) <= RETRIES_ALLOWED


def late(deployment, third_at):
    """Returns the first run of each request later than the bound."""
    first = {}
    for at, request_id in journal(deployment, "runs"):
        if at > third_at + STABLE_S:
            first.setdefault(request_id, at)
    return sorted((at, request_id) for request_id, at in first.items())


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
