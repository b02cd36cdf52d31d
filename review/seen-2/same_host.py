"""A configuration with two routes of one host and prefix is acknowledged."""

import asyncio
import tempfile

from stand_ins2.case import Setting, configuration, route, run_case
from stand_ins2.http import ClientConnection

# One host: names of hosts are the same in upper and lower case.
HOST, SAME_HOST = "leno12.example", "Leno12.example"
PREFIX = "/nono601/"
SERVICES = ["kafi81c", "nuxa12d"]


async def main(record, trouble):
    """Returns whether the invalid configuration was refused and had no effect."""
    valid = route("r-1", host=HOST, prefix=PREFIX, service=SERVICES[0])
    other_host = "hufi27.example"
    second_host = SAME_HOST if trouble else other_host
    second = route("r-2", host=second_host, prefix=PREFIX, service=SERVICES[1])
    async with Setting(record, cores=["zone-a"] * 3, fronts=["zone-a"] * 2) as setting:
        await setting.begin(configuration(1, routes=[valid], services=SERVICES))
        for name in SERVICES:
            await setting.add_searchers(name, 3)
        await setting.settle()
        changed = configuration(2, routes=[valid, second], services=SERVICES)
        answer = await setting.operator.put(changed)
        record.write(f"version 2, with {HOST} and {second_host}: {answer.status}")
        await asyncio.sleep(3.5)  # configApplyMs and a little more
        services = []
        for number in range(10):
            front = setting.deployment.fronts[number % 2]
            connection = ClientConnection(front.front)
            await connection.open()
            request_id = f"q-{number}"
            await connection.request(
                path=PREFIX + "x", host=HOST, request_id=request_id
            )
            connection.close()
            services += [r.service for r in setting.runs if r.request_id == request_id]
        record.write(f"requests to {HOST} were run by {services}")
        if trouble:
            return answer.status >= 400 and set(services) == {SERVICES[0]}
        return answer.status == 200 and set(services) == {SERVICES[0]}


run_case(main, folder=tempfile.mkdtemp(prefix="review-"))
