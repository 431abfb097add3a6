"""The agent's gRPC server: service, health checks and reflection, on a Unix socket and with TLS on TCP."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from anisespool.agent.service import AgentService
from anisespool.agent.v1 import agent_pb2, agent_pb2_grpc
from anisespool.config.operator import MAX_DOCUMENT_BYTES, AgentOptions
from anisespool.config.platform import ConfigError
from anisespool.control.socket_directory import MAX_SOCKET_PATH_BYTES

SERVICE_NAME = agent_pb2.DESCRIPTOR.services_by_name["Agent"].full_name
MAX_CONCURRENT_REQUESTS = 256
MAX_MESSAGE_BYTES = 4 * MAX_DOCUMENT_BYTES
SERVER_OPTIONS = {
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
    "grpc.max_concurrent_streams": MAX_CONCURRENT_REQUESTS,
    "grpc.so_reuseport": 0,
}

GrpcServer = Any  # grpc.aio.Server, which has no type stubs


async def create_server(settings: AgentOptions, service: AgentService) -> GrpcServer:
    """Return a server that is bound to the addresses of `settings`, but not started.

    Raises:
        ConfigError: an address or a TLS file can't be used.
    """
    server = grpc.aio.server(
        options=list(SERVER_OPTIONS.items()), maximum_concurrent_rpcs=MAX_CONCURRENT_REQUESTS
    )
    agent_pb2_grpc.add_AgentServicer_to_server(service, server)
    await _add_health_and_reflection(server)
    _bind_unix_socket(server, settings.socket_path)
    if settings.tcp_address:
        try:
            server.add_secure_port(settings.tcp_address, _tls_credentials(settings))
        except (OSError, RuntimeError) as error:
            raise ConfigError(f"agent.tcp: {error}") from None
    return server


async def _add_health_and_reflection(server: GrpcServer) -> None:
    health_service = health.aio.HealthServicer()
    health_pb2_grpc.add_HealthServicer_to_server(health_service, server)
    serving = health_pb2.HealthCheckResponse.SERVING
    await health_service.set(SERVICE_NAME, serving)
    await health_service.set("", serving)
    service_names = [SERVICE_NAME, health.SERVICE_NAME, reflection.SERVICE_NAME]
    reflection.enable_server_reflection(service_names, server)


def _bind_unix_socket(server: GrpcServer, path: Path) -> None:
    """Bind the server to `path`, which replaces the socket of an earlier agent.

    Raises:
        ConfigError: the path is too long for a socket address.
    """
    path.unlink(missing_ok=True)
    if len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES:
        raise ConfigError(f"agent.state: {path} is longer than {MAX_SOCKET_PATH_BYTES} bytes")
    server.add_insecure_port(f"unix:{path}")


def _tls_credentials(settings: AgentOptions) -> Any:
    """Return credentials of mutual TLS, which is mandatory: a client of this port can change the whole fleet.

    Raises:
        ConfigError: a file can't be read.
    """
    key_pem = _read_pem("key", settings.key_file)
    certificate_pem = _read_pem("certificate", settings.certificate_file)
    clients_ca_pem = _read_pem("clients_ca", settings.client_ca_file)
    return grpc.ssl_server_credentials([(key_pem, certificate_pem)], clients_ca_pem, require_client_auth=True)


def _read_pem(key: str, path: str | None) -> bytes:
    """Return the content of the file at `path`, which is the value of the option `key` of [agent].

    Raises:
        ConfigError: the file can't be read.
    """
    try:
        return Path(path or "").read_bytes()
    except OSError as error:
        raise ConfigError(f"agent.{key}: {error.strerror}: {path}") from None
