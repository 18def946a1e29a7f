"""Settings of the processes, from flags and environment variables.

Each field of a settings class is a flag (``--fleet-keys``) and an environment
variable (``DAISYPICK_FLEET_KEYS``); flags take precedence. All invalid settings
are reported at once, by name. Secrets are masked in dumps and logs.
"""

from collections.abc import Mapping
import typing

import pydantic
import pydantic_settings

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.http import client

PREFIX = "DAISYPICK_"
_LOOPBACK = ("127.", "::1", "localhost")

Keys = typing.Annotated[pydantic.SecretStr, pydantic.Field(min_length=8)]


def _check_address(text: str) -> str:
    client.parse_address(text)
    return text


HostPort = typing.Annotated[str, pydantic.AfterValidator(_check_address)]


class ProcessSettings(pydantic_settings.BaseSettings):
    """Settings that all processes share."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=PREFIX, extra="forbid"
    )

    listen: HostPort = pydantic.Field(
        description="Address to listen on, host:port, port 0 for any."
    )
    advertise: str = pydantic.Field(
        default="",
        description="Address that peers use, host:port; default: listen.",
    )
    data_centre: str = pydantic.Field(
        min_length=1, description="Name of this process's data centre."
    )
    platform: str = pydantic.Field(
        description="Address of the platform's object API, host:port."
    )
    platform_client: str = pydantic.Field(
        default="http", description="Registered client of the platform."
    )
    platform_ca: str = pydantic.Field(
        default="",
        description="CA file (PEM) to verify the platform's certificate; plain "
        "HTTP if not set.",
    )
    platform_calls_per_second: float = pydantic.Field(
        default=20.0,
        gt=0,
        description="Rate limit of calls to the platform, calls per second.",
    )
    fleet_keys: Keys = pydantic.Field(
        description="Fleet keys, comma-separated: the first is sent, all "
        "are accepted."
    )
    operator_keys: Keys = pydantic.Field(
        description="Operator keys that are accepted, comma-separated."
    )
    seeds: str = pydantic.Field(
        default="",
        description="Addresses of processes to contact at start, "
        "comma-separated.",
    )
    tls_certificate: str = pydantic.Field(
        default="", description="Certificate file (PEM) of this process."
    )
    tls_key: str = pydantic.Field(
        default="", description="Key file (PEM) of this process."
    )
    tls_ca: str = pydantic.Field(
        default="",
        description="CA file (PEM) to verify the certificates of peers.",
    )
    allow_plain: bool = pydantic.Field(
        default=False,
        description="Allow plain HTTP on other addresses than loopback.",
    )
    progress_timeout: float = pydantic.Field(
        default=3.0,
        gt=0,
        description="Time without a byte after which a connection is closed, "
        "seconds.",
    )
    drain_timeout: float = pydantic.Field(
        default=600.0,
        gt=0,
        description="Time that a shutdown waits for running work, seconds.",
    )

    @pydantic.model_validator(mode="after")
    def _check_plain(self) -> typing.Self:
        is_loopback = self.listen.startswith(_LOOPBACK)
        if not (self.tls_certificate or is_loopback or self.allow_plain):
            raise ValueError(
                "listen: plain HTTP beyond loopback needs allow_plain"
            )
        if bool(self.tls_certificate) != bool(self.tls_key):
            raise ValueError("tls_key: goes with tls_certificate")
        return self


class RouterSettings(ProcessSettings):
    """Settings of ``daisypickd router``."""

    request_timeout: float = pydantic.Field(
        default=60.0,
        gt=0,
        description="Time within which a request must start, seconds, "
        "unless the caller asks for less.",
    )
    pick_policy: str = pydantic.Field(
        default="prefix_affinity",
        description="Registered policy that picks an agent.",
    )
    body_bytes: int = pydantic.Field(
        default=8_388_608,
        gt=0,
        description="Maximum size of a request body, bytes.",
    )

    held_bytes: int = pydantic.Field(
        default=268_435_456,
        gt=0,
        description="Maximum total size of buffered request bodies, bytes.",
    )


class AgentSettings(ProcessSettings):
    """Settings of ``daisypickd agent``."""

    name: str = pydantic.Field(
        min_length=1,
        description="Name of the backend server that the agent fronts.",
    )
    gather_seconds: float = pydantic.Field(
        default=0.04,
        ge=0,
        le=0.05,
        description="Time for which tokens of a stream are batched, seconds.",
    )
    engine_timeout: float = pydantic.Field(
        default=30.0,
        gt=0,
        description="Time without a byte after which a call to the backend "
        "server fails, seconds.",
    )
    keep_answer_seconds: float = pydantic.Field(
        default=120.0,
        gt=0,
        description="Time for which finished responses are kept, seconds.",
    )
    keep_answer_bytes: int = pydantic.Field(
        default=67_108_864,
        gt=0,
        description="Memory for finished responses, bytes.",
    )


def load(
    settings_class: type[ProcessSettings], flags: Mapping[str, str]
) -> ProcessSettings | list[failure_value.Failure]:
    """Return the validated settings, or a failure per invalid setting.

    Examples:
        >>> faults = load(RouterSettings, {"listen": "here"})
        >>> sorted(fault.reason.split(":")[0] for fault in faults)[:3]
        ['data_centre', 'fleet_keys', 'listen']
    """
    try:
        return settings_class(**flags)
    except pydantic.ValidationError as error:
        return [_fault(entry) for entry in error.errors()]


def _fault(entry: typing.Any) -> failure_value.Failure:
    name = ".".join(str(part) for part in entry["loc"])
    reason = f"{name}: {entry['msg']}" if name else entry["msg"]
    code = codes.BAD_VALUE
    if entry["type"] == "extra_forbidden":
        code = codes.UNKNOWN_SETTING
    return failure_value.Failure(code=code, reason=reason)


def split_list(text: str) -> tuple[str, ...]:
    """Return the entries of a comma-separated list.

    Examples:
        >>> split_list("a, b,,")
        ('a', 'b')
    """
    return tuple(part.strip() for part in text.split(",") if part.strip())


def describe(settings: ProcessSettings) -> dict[str, typing.Any]:
    """Return the settings for a dump, with secrets masked."""
    return settings.model_dump(mode="json")
