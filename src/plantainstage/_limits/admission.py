"""Early refusal of requests at the entry host that received them."""


class HostAdmission:
    """Refuses a request whose partitions cannot answer in time."""

    def admits(self, *, gather, partitions, remaining_s, now):
        """Whether the minimum coverage can be reached within ``remaining_s``.

        The expected wait of a partition is the shortest of its replicas'.
        """
        reachable = 0
        for partition in partitions:
            for replica in partition.replicas:
                estimate = replica.estimate
                if estimate.wait_s(now) + estimate.typical.service_s <= remaining_s:
                    reachable += partition.documents
                    break
        return reachable >= gather.needed
