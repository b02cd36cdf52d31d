"""Steps that check the faulty links that failure scenarios use."""

import socket
import socketserver
import threading

from behave import given, then, when

from support.proxy import Direction, Network


class EchoHandler(socketserver.BaseRequestHandler):
    def handle(self):
        try:
            while data := self.request.recv(1000):
                self.request.sendall(data)
        except ConnectionError:
            return


class EchoServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True


def connect(context):
    host, _, port = context.link.address.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=60)
    context.resources.callback(connection.close)
    return connection


def echoes(connection, text):
    connection.settimeout(60)
    connection.sendall(text)
    return connection.recv(1000) == text


def is_silent(connection):
    # The absence of a reply has no condition to wait for. This short wait may let a
    # wrong link pass on a slow machine, but never makes a correct link fail.
    connection.settimeout(0.2)
    try:
        connection.sendall(b"mute")
        return connection.recv(1000) is None
    except TimeoutError:
        return True


def is_reset(connection):
    connection.settimeout(60)
    try:
        connection.sendall(b"x")
        return connection.recv(1000) == b""
    except ConnectionError:
        return True


def behaves(connection, behaviour):
    match behaviour:
        case "echoes":
            return echoes(connection, b"again")
        case "is silent":
            return is_silent(connection)
        case "is reset":
            return is_reset(connection)
        case "echoes late":
            connection.settimeout(60)
            return connection.recv(1000) == b"mute"
        case "loses bytes":
            return echoes(connection, b"after")


@given("an echo server behind a link and a connection that has echoed")
def open_link(context):
    server = EchoServer(("127.0.0.1", 0), EchoHandler)
    context.resources.callback(server.server_close)
    context.resources.callback(server.shutdown)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    network = Network()
    context.resources.callback(network.close)
    context.link = network.link(f"127.0.0.1:{server.server_address[1]}")
    context.old = connect(context)
    assert echoes(context.old, b"first")


@when("the link injects the fault {fault}")
def inject_fault(context, fault):
    match fault:
        case "drop":
            context.link.drop(Direction.TO_SERVER)
        case "delay":
            context.link.delay(0.05)
        case _:
            getattr(context.link, fault)()


@then("the old connection {old} and a new connection {new}")
def check_faulty(context, old, new):
    assert behaves(context.old, old)
    assert behaves(connect(context), new)


@then("after release the old connection {later}")
def check_released(context, later):
    context.link.release()
    assert behaves(context.old, later)
