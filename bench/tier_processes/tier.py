"""A tier of the full size of a deployment.

One process serves all searchers of a data centre.
"""

from standin.deployments import manifest_of, placements_of
from support.processes import post_json, wait_until
from support.tier import Tier

CONTROL_REPLICAS = 3
# Service times (12 ms on average) and deadlines (80 and 120 ms) are twice those of
# bench/tier_model: the processes share one machine, so that CPU time is a larger
# part of the latency of a request than on separate hosts.
SERVICE_MS, JITTER_MS = 18.0, 12.0
PROFILE = "bench"
DEADLINE_MS = {"kogi": 160, "mauritius": 240}
MINIMUM_COVERAGE = {"kogi": 0.95, "mauritius": 0.99}
NEXT_SNAPSHOT = "s2"


def searcher_process(data_centre):
    """Returns the name of the process that serves a data centre's searchers."""
    return f"searchers-{data_centre}"


class DeploymentTier(Tier):
    """Control replicas, entry hosts in all data centres, and all searchers."""

    def __init__(self, resources, *, deployment, entries, seed):
        super().__init__(resources)
        self.deployment = deployment
        self.seed = seed
        self.deadline_s = DEADLINE_MS[deployment.name] / 1000
        centres = deployment.data_centres
        self.entry_data_centres = {
            f"entry-{number + 1}": centres[number % len(centres)]
            for number in range(entries)
        }
        self.placements = placements_of(deployment)

    def start_all(self):
        """Starts everything and publishes the profile."""
        self.start_controls(CONTROL_REPLICAS)
        for name, centre in self.entry_data_centres.items():
            self.start_entry(name, "--drain-delay", "0", data_centre=centre)
        for centre in self.deployment.data_centres:
            self._start_data_centre(centre)
        self.wait_until_ready()
        self._check_running()
        self.publish(
            name=PROFILE,
            index=self.deployment.index,
            deadline_ms=DEADLINE_MS[self.deployment.name],
            minimum_coverage=MINIMUM_COVERAGE[self.deployment.name],
        )
        self.wait_until_full(PROFILE)

    def _check_running(self):
        """Raises if a process has exited, for example after a port conflict."""
        for name, program in self.programs.items():
            if program.process.poll() is not None:
                log = program.log_path.read_text(encoding="utf-8")
                raise AssertionError(f"{name} has exited: {log[-500:]}")

    def _start_data_centre(self, centre):
        name = searcher_process(centre)
        self.start_standins(
            *("--deployment", self.deployment.name, "--data-centre", centre),
            *("--service-ms", SERVICE_MS, "--jitter-ms", JITTER_MS),
            *("--seed", self.seed),
            count=sum(item.data_centre == centre for item in self.placements),
            name=name,
        )

    def entries(self):
        """Returns the address of each entry host by name."""
        return dict(zip(self.entry_data_centres, self.entry_addresses, strict=True))

    def manifests(self):
        """Returns the documents of each partition in both snapshots."""
        first = manifest_of(self.deployment)
        return {
            "s1": first,
            NEXT_SNAPSHOT: {name: 2 * count for name, count in first.items()},
        }

    # ---- Orders and faults -------------------------------------------------------

    def order_searcher(self, placement, **order):
        """Sends an order to one searcher."""
        address = self.standins[searcher_process(placement.data_centre)]
        order["upstream_ids"] = [placement.upstream_id]
        post_json(address, "/control/order", order)

    def wait_until_idle(self):
        """Waits until no running searcher executes a sub-request.

        All runs are recorded then.
        """

        def idle():
            living = self.standins.keys() - self.last_records.keys()
            return not any(
                record["running"] for name in living for record in self.records_of(name)
            )

        wait_until(idle, what="no searcher executes a sub-request")
