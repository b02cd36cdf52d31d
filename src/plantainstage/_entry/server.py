"""HTTP handlers for callers, searchers' announcements and probes."""

import msgspec
from tornado.web import Application, RequestHandler

from plantainstage._errors import RefusalError
from plantainstage._messages import control
from plantainstage._messages.callers import QueryBody, RefusalBody
from plantainstage._messages.configuration import Manifest, SnapshotHolding, Upstream
from plantainstage._messages.upstreams import Announcement


class JsonHandler(RequestHandler):
    """Writes typed bodies as JSON."""

    def initialize(self, host):
        self.host = host

    def reply(self, body, status=200):
        """Finishes the request with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def refuse(self, error):
        """Finishes the request with a typed refusal."""
        refusal = RefusalBody(
            error=error.code, run=error.run, message=error.message, remedy=error.remedy
        )
        self.reply(refusal, status=error.http_status)


class QueryHandler(JsonHandler):
    """``POST /v1/query``."""

    async def post(self):
        try:
            self.reply(await self.host.query(self.request.body))
        except RefusalError as error:
            self.refuse(error)


class UpstreamsHandler(JsonHandler):
    """``POST /v1/upstreams``."""

    async def post(self):
        announcement = msgspec.json.decode(self.request.body, type=Announcement)
        self.reply(await self.host.announce(announcement))


class LiveHandler(JsonHandler):
    """``GET /livez``."""

    def get(self):
        self.reply({"live": True})


class ReadyHandler(JsonHandler):
    """``GET /readyz``; fails without a lease and while draining."""

    def get(self):
        ready = self.host.session.holds_lease and not self.host.draining
        self.reply({"ready": ready}, status=200 if ready else 503)


class EntryHost:
    """Ties the lease, the configuration and the scatter together."""

    def __init__(self, *, session, scatter, client):
        self.session = session
        self.scatter = scatter
        self.client = client
        self.draining = False

    async def query(self, data):
        """Returns the AnswerBody for an encoded QueryBody."""
        try:
            body = msgspec.json.decode(data, type=QueryBody)
        except msgspec.MsgspecError as error:
            raise RefusalError(
                code="malformed",
                message=f"The request body is not valid: {error}.",
                remedy="See docs/callers.md for the format.",
            ) from error
        if not self.session.holds_lease:
            raise RefusalError(
                code="configuration_unconfirmed",
                message="This host cannot confirm its configuration at the moment.",
                remedy="Send the request to another entry host.",
                http_status=503,
            )
        configuration = self.session.configuration
        for profile in configuration.profiles:
            if profile.name == body.profile:
                return await self.scatter.run(
                    configuration=configuration, profile=profile, body=body
                )
        raise RefusalError(
            code="unknown_profile",
            message=f"No profile is published under the name {body.profile!r}.",
            remedy="List the profiles with plantainstage-ctl profile list.",
            http_status=404,
        )

    async def announce(self, announcement):
        """Passes a searcher's announcement on to control."""
        upstream = Upstream(
            upstream_id=announcement.upstream_id,
            incarnation=announcement.incarnation,
            address=announcement.address,
            data_centre=announcement.data_centre,
            index=announcement.index,
            slots=announcement.slots,
            connections=announcement.connections,
            holdings=tuple(
                SnapshotHolding(snapshot=item.snapshot, partitions=item.partitions)
                for item in announcement.snapshots
            ),
        )
        manifests = tuple(
            Manifest(
                index=announcement.index,
                snapshot=item.snapshot,
                sequence=item.sequence,
                documents=item.manifest,
            )
            for item in announcement.snapshots
        )
        return await self.client.call(
            control.AnnounceUpstreams(upstreams=(upstream,), manifests=manifests),
            timeout_s=1.0,
        )


def make_application(host):
    """Returns the tornado application of an entry host."""
    arguments = {"host": host}
    return Application(
        [
            ("/v1/query", QueryHandler, arguments),
            ("/v1/upstreams", UpstreamsHandler, arguments),
            ("/livez", LiveHandler, arguments),
            ("/readyz", ReadyHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
