"""Steps for the latency estimates of routing."""

from behave import given, then

from plantainstage._routing.estimates import PartitionLatency

TYPICAL_S = 0.024
STRAGGLER_S = 0.24


@given("a new partition whose answers take 24 ms, and 240 ms each tenth time")
def new_partition(context):
    context.latency = PartitionLatency()


@then("its median is 24 ms after 3 answers, the first of which took 240 ms")
def check_first(context):
    for latency_s in (STRAGGLER_S, TYPICAL_S, TYPICAL_S):
        context.latency.observe(latency_s)
    assert context.latency.median_s == TYPICAL_S, context.latency.median_s


@then("its median stays between {low:d} and {high:d} ms for {count:d} more answers")
def check_median(context, low, high, count):
    for number in range(count):
        context.latency.observe(TYPICAL_S if number % 10 else STRAGGLER_S)
        assert low / 1000 < context.latency.median_s < high / 1000, (
            context.latency.median_s
        )
