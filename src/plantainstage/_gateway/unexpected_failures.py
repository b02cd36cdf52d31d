"""Ends a request with an answer if a step of its work fails unexpectedly.

The event loop, connections and other requests call the steps of a request. An error
that leaves such a step would close the caller's connection without an answer, leave
the request without an end, or stop the work of the request that made the call.
"""

import functools

from plantainstage._supervision import trace_of

INTERNAL_ERROR = "internal_error"


def ends_on_failure(step):
    """Makes an unexpected error in a step end the request of the object.

    The object has ``router`` and ``request``, and ``fail()``, which ends the request.
    The step returns True then, as one that is over.
    """

    @functools.wraps(step)
    def guarded(self, *arguments, **named):
        try:
            return step(self, *arguments, **named)
        except Exception as error:
            record_failure(self.router, self.request.request_id, error)
            self.fail()
            return True

    return guarded


def record_failure(router, request_id: str, error: Exception):
    """Counts and logs an error that no part of the program expects."""
    router.metrics.internal_errors.inc()
    router.events.log_event(
        "request_failed", request_id=request_id, trace=trace_of(error)
    )
