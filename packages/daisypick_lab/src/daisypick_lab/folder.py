"""The configuration folder of an embedded fleet, kept in memory.

The files have the same text as on disk. A change is appended as a new file.

Examples:
    >>> from daisypick_lab import deployments
    >>> files = organisation_files(deployments.DEMO)
    >>> print(files[0].text.splitlines()[0])
    [organisations.rila-farm]
"""

from collections.abc import Sequence
import hashlib
import typing

from daisypick_core.configuration import merge
from daisypick_lab import deployments
from daisypick_lab import load


class BackendServer(typing.NamedTuple):
    """A backend server as described in the folder."""

    name: str
    service: str
    data_centre: str
    address: str
    agent: str
    slots: int
    cold_slots: int


def organisation_files(
    deployment: deployments.Deployment,
) -> list[merge.SourceFile]:
    """Return the files that don't depend on addresses."""
    organisations = "\n".join(_organisation(p) for p in deployment.profiles)
    services = (
        f"[services.{deployment.model_service}]\n"
        'kind = "model"\nmodel = "pine-7b"\n\n'
        f"[services.{deployment.plain_service}]\n"
        'kind = "plain"\n'
        'not_repeatable = [{ method = "POST", path = "/bookings" }]\n'
    )
    data_centres = "\n".join(
        f'[data_centres.{name}]\nregion = "home"\n'
        for name in deployment.data_centres
    )
    return [
        merge.SourceFile("10-organisations.toml", organisations),
        merge.SourceFile("20-services.toml", services),
        merge.SourceFile("30-data-centres.toml", data_centres),
    ]


def backend_server_file(
    servers: Sequence[BackendServer],
) -> merge.SourceFile:
    """Return the file of the backend servers."""
    tables = [
        f"[backend_servers.{server.name}]\n"
        f'service = "{server.service}"\n'
        f'data_centre = "{server.data_centre}"\n'
        f'address = "{server.address}"\n'
        f'agent = "{server.agent}"\n'
        f"slots = {server.slots}\n"
        f"cold_slots = {server.cold_slots}\n"
        for server in servers
    ]
    return merge.SourceFile("40-backend-servers.toml", "\n".join(tables))


def data_centre_file(
    number: int, name: str, *, is_in: bool
) -> merge.SourceFile:
    """Return the file that takes a data centre out of or into service."""
    word = "in" if is_in else "out"
    text = f"[data_centres.{name}]\nis_in = {str(is_in).lower()}\n"
    return merge.SourceFile(f"zz-{number:06}-{name}-{word}.toml", text)


def _organisation(profile: load.Profile) -> str:
    key_hash = hashlib.sha256(profile.key.encode()).hexdigest()
    return (
        f"[organisations.{profile.name}]\n"
        f"share = {profile.share}\n"
        f'key_hashes = ["{key_hash}"]\n'
    )
