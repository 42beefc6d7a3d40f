"""Authenticates callers by their team's key and authorises their requests.

A section contains only the SHA-256 digests of the team's keys, so that read
access to the configuration does not allow calls on behalf of the team.
"""

from collections.abc import Mapping
from hashlib import sha256

from blacksheep import Request

from heatherdyke.component import ConfigView
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import SectionConfig
from heatherdyke.request_errors import Forbidden
from heatherdyke.request_errors import UnknownKey
from heatherdyke.request_errors import UnknownService

SCHEME = "bearer"


class CallerKeys:
    """The keys and services of one accepted configuration document."""

    __slots__ = ("_document", "_team_by_key_hash", "_team_by_service")

    def __init__(
        self,
        document: ConfigDocument,
        team_by_key_hash: Mapping[str, str],
        team_by_service: Mapping[str, str],
    ) -> None:
        self._document = document
        self._team_by_key_hash = team_by_key_hash
        self._team_by_service = team_by_service

    @classmethod
    def from_document(cls, document: ConfigDocument) -> "CallerKeys":
        """Index the keys and services of all sections."""
        team_by_key_hash = {}
        team_by_service = {}
        for team, section in document.section_by_team.items():
            for key_hash in section.key_hashes:
                team_by_key_hash[key_hash.lower()] = team
            for service in section.services:
                team_by_service[service] = team
        return cls(document, team_by_key_hash, team_by_service)

    def find_team(self, authorization: str | None) -> str:
        """Return the team of an ``Authorization: Bearer KEY`` header value.

        Raises UnknownKey if the value is missing or malformed, or if no
        section contains the key's digest.
        """
        key_hash = hash_key(_parse_bearer(authorization))
        team = self._team_by_key_hash.get(key_hash)
        if team is None:
            raise UnknownKey(
                "the key belongs to no team",
                "use a key whose SHA-256 is in the key_hashes of your team's "
                "section",
            )
        return team

    def check_access(self, team: str, service: str) -> SectionConfig:
        """Return the section that declares ``service``.

        Raises UnknownService if no section does, and Forbidden unless
        ``team`` owns the service or is one of the section's ``readers``.
        """
        owner = self._team_by_service.get(service)
        if owner is None:
            raise UnknownService(
                f"no section declares the service {service!r}",
                "correct the name, or declare the service in a section",
            )
        section = self._document.section_by_team[owner]
        if team != owner and team not in section.readers:
            raise Forbidden(
                f"team {team!r} may not use the service {service!r}",
                f"ask team {owner!r} to add it to the readers",
            )
        return section


class CallerAuthenticator:
    """Authenticates callers by the keys of the active document."""

    __slots__ = ("_config", "_document", "_keys")

    def __init__(self, config: ConfigView) -> None:
        self._config = config
        self._document = config.document
        self._keys = CallerKeys.from_document(config.document)

    def current(self) -> CallerKeys:
        """Return the keys and services of the active document."""
        document = self._config.document
        if document is not self._document:
            self._document = document
            self._keys = CallerKeys.from_document(document)
        return self._keys

    def find_team(self, request: Request) -> str:
        """Return the team of a caller's request; raises UnknownKey."""
        header = request.headers.get_first(b"Authorization")
        return self.current().find_team(header.decode() if header else None)


def hash_key(key: str) -> str:
    """Return the key's hexadecimal SHA-256, as listed in a section."""
    return sha256(key.encode()).hexdigest()


def _parse_bearer(authorization: str | None) -> str:
    scheme, _, key = (authorization or "").partition(" ")
    if scheme.lower() != SCHEME or not key.strip():
        raise UnknownKey(
            "the request has no Authorization header with a bearer key",
            "send 'Authorization: Bearer KEY' with a key of your team",
        )
    return key.strip()
