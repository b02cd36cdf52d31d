"""Decisions about one request at one service, for the logs."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Decision:
    """One decision, or the outcome of a call.

    ``at`` is on the event loop's clock. ``step`` is ``send``, ``hedge``, ``repeat``,
    ``wait``, ``left_out``, ``no_hedge``, ``hold_back``, ``no_repeat``, ``given_up``,
    ``outcome`` or ``pass_on``, whose ``searcher`` is the address of the entry host that
    helps.
    The inputs of a searcher's selection are ``expected_ms``, its expected latency,
    ``in_flight``, the number of this host's other requests there, ``reported_busy``,
    the load that it last reported, and ``report_age_ms``, the age of that report.
    """

    at: float
    step: str
    searcher: str = ""
    outcome: str = ""
    expected_ms: float | None = None
    in_flight: int | None = None
    reported_busy: int | None = None
    report_age_ms: float | None = None

    @classmethod
    def sent(cls, *, step: str, choice, now: float):
        """Returns the decision to send to the selected searcher."""
        load = choice.load
        age_s = now - load.reported_at
        has_report = age_s < float("inf")
        return cls(
            at=now,
            step=step,
            searcher=load.searcher.searcher_id,
            outcome="shunned" if choice.avoided else "",
            expected_ms=round(choice.expected_s * 1000, 1),
            in_flight=load.in_flight,
            reported_busy=load.reported_busy if has_report else None,
            report_age_ms=round(age_s * 1000) if has_report else None,
        )

    def fields(self, began_at: float) -> dict:
        """Returns the fields of an event line; times are relative to ``began_at``."""
        line = {"step": self.step, "at_ms": round((self.at - began_at) * 1000, 1)}
        for name in (
            "searcher",
            "outcome",
            "expected_ms",
            "in_flight",
            "reported_busy",
            "report_age_ms",
        ):
            value = getattr(self, name)
            if value not in ("", None):
                line[name] = value
        return line
