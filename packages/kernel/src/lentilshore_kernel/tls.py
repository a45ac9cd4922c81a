"""TLS contexts made from settings."""

from __future__ import annotations

import ssl

from .settings import TlsSetting


def create_server_context(setting: TlsSetting | None) -> ssl.SSLContext | None:
    """Return the context of a listener, None for plain TCP.

    :param setting: with an authority, the other side must show a certificate.
    """
    if setting is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(setting.certificate, setting.key)
    if setting.authority is not None:
        context.load_verify_locations(setting.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def create_client_context(setting: TlsSetting | None) -> ssl.SSLContext | None:
    """Return the context of an outgoing link, None for plain TCP.

    Processes are met by IP number, which certificates need not name; the
    authority signs only instances of the system.

    :param setting: certificate shown to, and authority trusted of, the listener.
    """
    if setting is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.load_cert_chain(setting.certificate, setting.key)
    if setting.authority is not None:
        context.load_verify_locations(setting.authority)
    return context
