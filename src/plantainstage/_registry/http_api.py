"""The HTTP interface of a control replica for operators and searchers."""

import asyncio

import msgspec
from tornado import web
from tornado.httpserver import HTTPServer

from plantainstage._errors import (
    DepartureNotHeardError,
    InvalidAnnouncementError,
    InvalidConfigurationError,
    InvalidDataCentreError,
    NotLeaderError,
    OutcomeUnknownError,
    RegisterFullError,
    TooManyEvacuationsError,
)
from plantainstage._messages.account_rows import AccountReport
from plantainstage._serving.configuration_ranges import check_number_ranges
from plantainstage._serving.configuration_texts import check_texts
from plantainstage._transport.bounded_bodies import BodyLimit, BoundedBodies

# Callers turn to another replica after one second without a reply.
REPLY_TIMEOUT_S = 0.9
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
# Callers turn to another replica long before; a slow body must not hold memory.
BODY_TIMEOUT_S = 10.0
MAX_LOGGED_ID_CHARACTERS = 80
JSON = "application/json"


class _Handler(web.RequestHandler):
    def initialize(self, control):
        self.control = control

    def _reply(self, status, body=b"{}"):
        self.set_status(status)
        self.set_header("Content-Type", JSON)
        self.finish(body)

    def _refuse(self, error):
        self._reply(400, msgspec.json.encode({"error": str(error)}))

    def _refuse_announcement(self, searcher_id, error):
        self._log_refusal(error, searcher_id)
        self._refuse(error)

    async def _reply_to_searcher(self, handling):
        """Replies 200 once what a searcher said was recorded, 503 if it cannot be."""
        try:
            await handling
        except (RegisterFullError, DepartureNotHeardError) as error:
            self._log_refusal(error, self.path_args[0])
            self._reply(503)
            return
        self.control.metrics.announcements.labels("taken").inc()
        self._reply(200)

    def _log_refusal(self, error, searcher_id):
        self.control.metrics.announcements.labels("refused").inc()
        self.control.events.log_event(
            "announcement_refused",
            searcher=searcher_id[:MAX_LOGGED_ID_CHARACTERS],
            error=type(error).__name__,
            reason=str(error)[:200],
        )

    def _redirect_to_leader(self):
        """Redirects the caller to the leader, or replies 503 if no other leads."""
        leader = self.control.leader_address()
        if not leader or leader == self.control.own_address:
            self._reply(503)
            return
        self.set_header("Location", f"http://{leader}{self.request.uri}")
        self._reply(307)


class _PutConfiguration(_Handler):
    async def post(self):
        document = self.request.body
        decode = self.control.format.decode_configuration
        try:
            configuration = decode(document)
            check_number_ranges(configuration)
            check_texts(configuration)
        except InvalidConfigurationError as error:
            self._count("refused")
            self.control.events.log_event(
                "configuration_refused", reason=str(error)[:500]
            )
            self._refuse(error)
            return
        version = configuration.version
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                newest_version = await self.control.put_configuration(version, document)
        except NotLeaderError:
            self._count("not_leader")
            self._redirect_to_leader()
        except (OutcomeUnknownError, TimeoutError) as error:
            reason = type(error).__name__
            self._count("unsettled")
            self.control.events.log_event(
                "configuration_unsettled", version=version, reason=reason
            )
            self._reply(503)
        else:
            self._count("acknowledged")
            self.control.events.log_event(
                "configuration_acknowledged", version=version, held=newest_version
            )
            self._reply(200)

    def _count(self, outcome):
        self.control.metrics.configurations.labels(outcome).inc()


class _GetConfiguration(_Handler):
    async def get(self):
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                document = await self.control.newest_configuration()
        except NotLeaderError:
            self._redirect_to_leader()
        except (OutcomeUnknownError, TimeoutError) as error:
            reason = type(error).__name__
            self.control.events.log_event("configuration_unconfirmed", reason=reason)
            self._reply(503)
        else:
            self._reply(200, document) if document else self._reply(503)


class _AnnounceSearcher(_Handler):
    async def post(self, searcher_id):
        decode = self.control.format.decode_announcement
        try:
            searcher = decode(searcher_id, self.request.body)
        except InvalidAnnouncementError as error:
            self._refuse_announcement(searcher_id, error)
            return
        await self._reply_to_searcher(
            self.control.announcements.handle_announcement(searcher)
        )


class _RemoveSearcher(_Handler):
    async def post(self, searcher_id):
        decode = self.control.format.decode_departure
        try:
            started_at_ms = decode(self.request.body)
        except InvalidAnnouncementError as error:
            self._refuse_announcement(searcher_id, error)
            return
        work = self.control.announcements.handle_departure(searcher_id, started_at_ms)
        await self._reply_to_searcher(work)


class _ListQuarantines(_Handler):
    async def get(self):
        now = asyncio.get_running_loop().time()
        suspected = self.control.crashes.suspected(now)
        rows = [
            {
                "fingerprint": entry.fingerprint,
                "ended_searchers": entry.ends,
                "quarantined": entry.proven,
                "age_ms": entry.age_ms,
            }
            for entry in suspected
            if entry.ends
        ]
        self._reply(200, msgspec.json.encode(rows))


class _ListAccounts(_Handler):
    async def get(self):
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                document = await self.control.newest_configuration()
        except NotLeaderError:
            self._redirect_to_leader()
        except (OutcomeUnknownError, TimeoutError):
            self._reply(503)
        else:
            self._reply(200, self._report()) if document else self._reply(503)

    def _report(self):
        rows = self.control.account_rows()
        version = self.control.machine.newest.version
        report = AccountReport(version=version, accounts=rows)
        return msgspec.json.encode(report)


class _LiftQuarantine(_Handler):
    async def post(self, fingerprint):
        now = asyncio.get_running_loop().time()
        self.control.crashes.lift(fingerprint, now)
        self.control.events.log_event("quarantine_lifted", fingerprint=fingerprint)
        self._reply(200)


class _OrderEvacuation(_Handler):
    def initialize(self, control, *, starts):
        self.control = control
        self.starts = starts

    async def post(self, data_centre):
        order = self.control.order_evacuation(data_centre, starts=self.starts)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await order
        except (InvalidDataCentreError, TooManyEvacuationsError) as error:
            self._record("refused", data_centre, reason=str(error)[:200])
            self._refuse(error)
        except NotLeaderError:
            self._redirect_to_leader()
        except (OutcomeUnknownError, TimeoutError) as error:
            self._record("unsettled", data_centre, reason=type(error).__name__)
            self._reply(503)
        else:
            self._record("acknowledged", data_centre)
            self._reply(200)

    def _record(self, outcome, data_centre, **fields):
        self.control.metrics.evacuation_orders.labels(outcome).inc()
        self.control.events.log_event(
            f"evacuation_order_{outcome}",
            data_centre=data_centre[:MAX_LOGGED_ID_CHARACTERS],
            starts=self.starts,
            **fields,
        )


class _ListEvacuations(_Handler):
    async def get(self):
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                rows = await self.control.list_evacuations()
        except NotLeaderError:
            self._redirect_to_leader()
        except (OutcomeUnknownError, TimeoutError):
            self._reply(503)
        else:
            self._reply(200, msgspec.json.encode(rows))


def make_server(control) -> HTTPServer:
    """Returns the server; the caller makes it listen."""
    paths = control.format
    arguments = {"control": control}
    routes = [
        (paths.put_configuration, _PutConfiguration, arguments),
        (paths.get_configuration, _GetConfiguration, arguments),
        (paths.announce_searcher, _AnnounceSearcher, arguments),
        (paths.remove_searcher, _RemoveSearcher, arguments),
        (paths.list_quarantines, _ListQuarantines, arguments),
        (paths.lift_quarantine, _LiftQuarantine, arguments),
        (paths.list_accounts, _ListAccounts, arguments),
        (paths.start_evacuation, _OrderEvacuation, {**arguments, "starts": True}),
        (paths.end_evacuation, _OrderEvacuation, {**arguments, "starts": False}),
        (paths.list_evacuations, _ListEvacuations, arguments),
    ]
    application = web.Application(routes, log_function=lambda handler: None)
    bodies = _bounded_bodies(application, control)
    return HTTPServer(
        bodies, max_body_size=MAX_DOCUMENT_BYTES, body_timeout=BODY_TIMEOUT_S
    )


def _bounded_bodies(application, control):
    memory = control.body_memory
    documents = BodyLimit(longest_bytes=MAX_DOCUMENT_BYTES, memory=memory.documents)
    others = BodyLimit(longest_bytes=MAX_ANNOUNCEMENT_BYTES, memory=memory.others)
    put_path = control.format.put_configuration

    def log_refusal(path):
        name = path[:MAX_LOGGED_ID_CHARACTERS]
        control.events.log_event("body_refused", path=name)

    return BoundedBodies(
        application=application,
        limit_of=lambda path: documents if path == put_path else others,
        on_refused=log_refusal,
    )
