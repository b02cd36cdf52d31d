"""The HTTP server for callers; requests and answers are buffered as a whole."""

import asyncio
from functools import partial

import msgspec
from tornado import httputil
from tornado.httpserver import HTTPServer

from plantainstage._gateway import answers
from plantainstage._gateway.key_checks import (
    Caller,
    RefusedKey,
    check_key,
    relayed_caller,
)
from plantainstage._gateway.messages import CallerRequest
from plantainstage._gateway.quota_gate import GatedRequest
from plantainstage._gateway.relay_decisions import relay_refusal_reason
from plantainstage._gateway.relay_headers import OLDER_CONFIGURATION, RelayOrigin
from plantainstage._gateway.request_heads import HeadReader
from plantainstage._gateway.requests import refusal_of_share, start_request
from plantainstage._gateway.unexpected_failures import (
    INTERNAL_ERROR,
    record_failure,
)
from plantainstage._serving.configuration import CallerLimits

# Until a configuration is in force.
DEFAULT_LIMITS = CallerLimits(
    head_bytes=64 * 1024, body_bytes=1024 * 1024, idle_timeout_ms=60_000
)

# Headers that a host adds to a head when it passes a request on, with the name of an
# account.
RELAY_HEAD_BYTES = 4096

# Requests of hosts that are cut off which a helper has at a time; the memory of a small
# host holds several times as many.
MAX_RELAYED = 64

STOPPING = "stopping"


class _CallerServer(HTTPServer):
    """A server whose delegate reads the heads and is told of closed connections."""

    def handle_stream(self, stream, address):
        stream.read_until_regex = self.request_callback.read_heads_of(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        super().on_close(server_conn)
        # Breaks the cycle between the stream and its reader.
        del server_conn.stream.read_until_regex
        self.request_callback.on_close(server_conn)


class Ingress(httputil.HTTPServerConnectionDelegate):
    """Receives requests of callers and starts them on their routes.

    With ``relays`` it receives what other entry hosts pass on, which count against
    quotas at those. ``gate`` is the QuotaGate that requests of accounts pass.
    """

    def __init__(self, *, router, relays: bool = False, gate=None):
        self.router = router
        self.gate = gate
        self.relays = relays
        self.started_at = asyncio.get_running_loop().time()
        self.limits = DEFAULT_LIMITS
        self.idle_heads = set()  # HeadReaders that wait for a request
        self.server = _CallerServer(self)
        self.server.conn_params.header_timeout = None  # HeadReaders have their own
        self.waiting = {}  # connection -> request whose headers have not arrived
        self.running = set()
        self.stopping = False

    def set_limits(self, limits):
        """Applies the caller limits of a configuration to all requests from now on."""
        self.limits = self._limits_for_hosts(limits) if self.relays else limits
        for head in list(self.idle_heads):
            head.limits_changed()

    def _limits_for_hosts(self, limits):
        """Returns limits within which another host may pass its requests on.

        It has applied those of its version, which may be higher than in the version
        here, so that sizes never fall; its connections keep the timeouts.
        """
        known = self.limits
        head_bytes = limits.head_bytes + RELAY_HEAD_BYTES
        return msgspec.structs.replace(
            known,
            head_bytes=max(known.head_bytes, head_bytes),
            body_bytes=max(known.body_bytes, limits.body_bytes),
        )

    def read_heads_of(self, stream):
        """Returns the function that reads the heads of requests on a connection."""
        head = HeadReader(
            stream=stream, limits=lambda: self.limits, idle=self.idle_heads
        )
        return head.read_until_regex

    def start_request(self, server_conn, request_conn):
        """Returns the delegate for the next request of a connection."""
        request = IngressRequest(
            ingress=self, connection=request_conn, server_connection=server_conn
        )
        self.waiting[server_conn] = request
        return request

    def on_close(self, server_conn):
        """Removes a closed connection; a running request has its own close callback."""
        self.waiting.pop(server_conn, None)

    def close_idle(self):
        """Closes connections on which the headers of a request have not arrived."""
        for waiting in list(self.waiting.values()):
            waiting.connection.close()
        self.waiting.clear()

    def end_running(self):
        """Answers the requests that are running, without waiting for searchers."""
        for request in list(self.running):
            request.end()


class IngressRequest(httputil.HTTPMessageDelegate):
    """One request of a caller on its connection."""

    def __init__(self, *, ingress, connection, server_connection):
        self.ingress = ingress
        self.server_connection = server_connection
        self.connection = connection
        self.start_line = None
        self.headers = None
        self.chunks = []
        self.received_at = 0.0
        self.routed = None
        self.gated = None  # GatedRequest, if it belongs to an account
        self.replied = False
        self.checked_with = None  # RouteTable with which the key was checked
        self.checked = None  # Caller or RefusedKey

    # ---- Callbacks of tornado -----------------------------------------------------

    def headers_received(self, start_line, headers):
        self.ingress.waiting.pop(self.server_connection, None)
        self.ingress.running.add(self)
        self.start_line = start_line
        self.headers = headers
        self.received_at = asyncio.get_running_loop().time()
        self.connection.set_max_body_size(self.ingress.limits.body_bytes)
        if not self.ingress.relays:
            self._guarded(self._refuse_early)

    def data_received(self, chunk):
        if not self.replied:
            self.chunks.append(chunk)

    def finish(self):
        self._guarded(self._finish)

    def _finish(self):
        if self.replied:
            if not self._is_closed():
                self.connection.finish()
            return
        if self._is_closed():
            # The connection was closed as idle while the request was arriving. It
            # cannot be answered any more, so it must not run.
            self.ingress.running.discard(self)
            return
        self.connection.set_close_callback(self._caller_disconnected)
        router = self.ingress.router
        origin = None
        if self.ingress.relays:
            origin = RelayOrigin.of(self.headers)
            refusal = self._relay_refusal(origin)
            if refusal is not None:
                self._log_refusal(refusal.reason, status=refusal.status)
                self._reply(refusal)
                return
        if router.table is None:
            self._log_refusal("no_configuration", status=503)
            up_s = self.received_at - self.ingress.started_at
            self._reply(answers.no_configuration(up_s=up_s))
            return
        route = self._find_route()
        if route is None:
            self._log_refusal("no_route", status=404)
            self._reply(answers.no_route())
            return
        match self._check_key(route, origin):
            case RefusedKey() as refused:
                self._reply(self._refusal_of_key(route, refused))
            case Caller() as caller:
                self._admit(route, self._request_of(caller, origin))

    def _guarded(self, step):
        """Takes a step; an unexpected error ends the request with an answer.

        Without the answer tornado would close the connection.
        """
        try:
            step()
        except Exception as error:
            self._record_failure(error)
            self._fail()

    def _record_failure(self, error):
        router = self.ingress.router
        request_id = self.headers.get(router.names.request_id, "")
        record_failure(router, request_id, error)

    def _fail(self):
        if self.gated is not None and self.gated.is_waiting:
            self.ingress.gate.drop(self.gated)
        if self.routed is not None:
            self.routed.fail()
        elif not self.replied:
            # RoutedRequests answer for themselves from the moment they are started.
            self._reply(answers.refusal(reason=INTERNAL_ERROR))

    def _request_of(self, caller, origin):
        return CallerRequest.of(
            start_line=self.start_line,
            headers=self.headers,
            body=b"".join(self.chunks),
            names=self.ingress.router.names,
            received_at=self.received_at,
            origin=origin,
            caller=caller,
        )

    def _admit(self, route, request):
        router = self.ingress.router
        refusal = refusal_of_share(router=router, route=route, request=request)
        if refusal is not None:
            self._reply(refusal)
        elif request.account and self.ingress.gate is not None:
            self._pass_gate(route, request)
        else:
            self._start(route, request)

    def _start(self, route, request):
        self._guarded(partial(self._start_on, route, request))
        return self.routed

    def _start_on(self, route, request):
        self.routed = start_request(
            router=self.ingress.router, route=route, request=request, reply=self._reply
        )

    def _pass_gate(self, route, request):
        """Starts the request once it has a permit of its account."""
        gated = GatedRequest(
            gate=self.ingress.gate,
            route=route,
            request=request,
            start=partial(self._start, route, request),
            reply=self._reply,
        )
        self.gated = gated
        self.ingress.gate.pass_on(gated)

    def _refuse_early(self):
        """Refuses a request without a valid key before its body arrives.

        The body is read and dropped, so that the connection can be used again. A caller
        that waits for permission to send the body is told to close the connection.
        """
        table = self.ingress.router.table
        if table is None or not table.accounts:
            return
        route = self._find_route()
        if route is None:
            return
        match self._check_key(route, None):
            case RefusedKey() as refused:
                answer = self._refusal_of_key(route, refused)
                expects = "Expect" in self.headers
                if expects:
                    answer.headers["Connection"] = "close"
                self._reply(answer, reads_on=not expects)

    def _check_key(self, route, origin):
        """Returns a Caller or a RefusedKey, by the configuration in force."""
        table = self.ingress.router.table
        if origin is not None and origin.account is not None:
            return relayed_caller(table, origin.account)
        if self.checked_with is not table:
            self.checked_with = table
            self.checked = check_key(table, route, self.headers)
        return self.checked

    def _refusal_of_key(self, route, refused):
        self.ingress.router.metrics.refused_keys.labels(refused.reason).inc()
        self._log_refusal(
            refused.reason, status=401, route=route.name, account="", key=refused.digest
        )
        return answers.key_refused(reason=refused.reason)

    def _relay_refusal(self, origin):
        """Returns why this host does not take a request that was passed on, or None."""
        router = self.ingress.router
        if origin is None:
            return answers.malformed_relay()
        if self.ingress.stopping:
            return answers.relay_refusal(reason=STOPPING)
        if router.table is None:
            return answers.relay_refusal(reason=OLDER_CONFIGURATION)
        reason = relay_refusal_reason(
            origin, version=router.version, route=self._find_route()
        )
        if reason is None and len(self.ingress.running) > MAX_RELAYED:
            reason = "full"
        return None if reason is None else answers.relay_refusal(reason=reason)

    def _find_route(self):
        table = self.ingress.router.table
        return table.find(self.headers.get("Host", ""), self.start_line.path)

    def on_connection_close(self):
        """Drops the request, whose connection closed before it was complete."""
        self.ingress.running.discard(self)

    def _log_refusal(self, outcome, *, status, **fields):
        """Logs a request that is refused for lack of a configuration, route or key."""
        router = self.ingress.router
        router.events.log_ordinary(
            "request",
            request_id=self.headers.get(router.names.request_id, ""),
            host_header=self.headers.get("Host", ""),
            target=self.start_line.path,
            version=router.version,
            outcome=outcome,
            status=status,
            **fields,
        )

    def _is_closed(self):
        return self.connection.stream is None or self.connection.stream.closed()

    def end(self):
        """Answers the request now, if it has been started."""
        if self.gated is not None and self.gated.is_waiting:
            self.ingress.gate.drop(self.gated)
            self._reply(answers.refusal(reason=STOPPING))
        elif self.routed is not None and not self.replied:
            self.routed.end(STOPPING)

    # ---- Answer -------------------------------------------------------------------

    def _caller_disconnected(self):
        self.ingress.running.discard(self)
        if self.routed is not None and not self.replied:
            self.routed.caller_disconnected()
        if self.gated is not None and not self.replied:
            self.gated.caller_disconnected()

    def _reply(self, answer, *, reads_on=False):
        """Sends an answer; with ``reads_on`` the rest of the request is read first."""
        self.replied = True
        self.ingress.running.discard(self)
        if self.gated is not None:
            self.gated.answered(answer)
        if self.ingress.relays:
            answers.mark_not_run(answer)
        if self._is_closed():
            return
        try:
            self._write(answer)
        except ValueError as error:
            # tornado refuses headers that would break the message.
            self._record_failure(error)
            self._write(answers.failed(reason=INTERNAL_ERROR))
        if not reads_on:
            self.connection.finish()

    def _write(self, answer):
        headers = answer.headers
        bodiless = answer.status in (204, 304)
        if not bodiless:
            headers["Content-Length"] = str(len(answer.body))
        if self.ingress.stopping:
            headers["Connection"] = "close"
        reason = httputil.responses.get(answer.status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", answer.status, reason)
        body = None if bodiless or self.start_line.method == "HEAD" else answer.body
        self.connection.write_headers(line, headers, body)
