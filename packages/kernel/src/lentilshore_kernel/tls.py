"""TLS contexts created from settings."""

from __future__ import annotations

import ssl

from .settings import TlsSetting


def create_server_context(setting: TlsSetting | None) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or None for plain TCP.

    :param setting: with an authority, clients must present a certificate that it
        signed.
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
    """Return the TLS context of an outgoing link, or None for plain TCP.

    Host names are not checked: links are made to IP addresses, which certificates
    need not name, and the authority signs only instances of the system.

    :param setting: certificate to present, and authority that must have signed the
        listener's certificate.
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
