"""Settings files of processes, in the same INI format as the base file.

Each error is reported with file, line, key and what was expected.

>>> problems = parse_settings('h.ini', '[process]\\nhots = h1\\n').failure()
>>> problems[0].describe()
'h.ini:1: [entry]: missing-section: expected a section [entry]'
"""

import base64
import binascii
import dataclasses
import ipaddress
import pathlib

from cryptography.hazmat.primitives.asymmetric import ed25519
from returns import result

from wagtailspread.configuration import files, findings, readers, sections
from wagtailspread.configuration import units
from wagtailspread.core import identifiers
from wagtailspread.wire import signing

_Rule = sections.KeyRule
_LOG_LEVELS = ('DEBUG', 'INFO', 'NOTICE', 'WARNING', 'ERROR')
_PUBLIC_KEY_BYTES = 32

PROCESS = sections.SectionKind(
    'process',
    is_named=False,
    rules=(
        _Rule('member'),
        _Rule('host'),
        _Rule('region'),
        _Rule('domain'),
        _Rule('key_file'),
        _Rule('log_level', default='INFO'),
    ),
)
ENTRY = sections.SectionKind(
    'entry',
    is_named=False,
    rules=(
        _Rule('caller_address'),
        _Rule('control_address'),
        _Rule('replicas'),
        _Rule('seeds', default=''),
        _Rule('folder', default=''),
        _Rule('drain', units.DURATION, '2s', '0s', '10min'),
        _Rule('trace_file', default=''),
        _Rule('trace_collector', default=''),
        _Rule('trace_share', units.SHARE, '1%', '0%', '100%'),
    ),
)
REPLICA = sections.SectionKind(
    'replica',
    is_named=False,
    rules=(
        _Rule('address'),
        _Rule('peers'),
        _Rule('data_folder'),
        _Rule('founders', default=''),
        _Rule('first_base', default=''),
    ),
)
TRUST = sections.SectionKind(
    'trust',
    is_named=True,
    rules=(_Rule('public_key'),),
)
_KINDS = (PROCESS, ENTRY, REPLICA, TRUST)


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySection:
    """Settings of an entry host.

    :param caller_address: address for callers, upstreams and the balancer.
    :param control_address: address for other processes of the fleet.
    :param replicas: addresses of the replicas.
    :param seeds: control addresses of the first gossip peers.
    :param folder: folder of the saved configuration; ``None`` to save none.
    :param drain: time in seconds for which a stopping host accepts requests
        after it reports unready.
    :param trace_file: path of the file for traces; empty for none.
    :param trace_collector: address of the collector of traces; empty for none.
    :param trace_share: share of the requests that are traced, from 0 to 1.
    """

    caller_address: identifiers.Address
    control_address: identifiers.Address
    replicas: tuple[identifiers.Address, ...]
    seeds: tuple[identifiers.Address, ...]
    folder: pathlib.Path | None
    drain: float
    trace_file: str
    trace_collector: str
    trace_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSection:
    """Settings of a replica.

    :param peers: addresses of all replicas; may include the own address.
    :param founders: addresses of the replicas that form the initial membership.
    :param first_base: path of the base file for the initial configuration.
    """

    address: identifiers.Address
    peers: tuple[identifiers.Address, ...]
    data_folder: pathlib.Path
    founders: tuple[identifiers.Address, ...]
    first_base: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of one process.

    Relative paths in a settings file start from the folder of the file.

    :param key_file: path of the member's private key in PEM.
    :param trusted_keys: raw public keys by member; used until the process
        knows the configuration.
    :param entry: ``None`` if the file has no section for an entry host.
    :param replica: ``None`` if the file has no section for a replica.
    """

    member: identifiers.MemberId
    host: identifiers.HostId
    region: identifiers.RegionName
    domain: identifiers.FailureDomain
    key_file: pathlib.Path
    log_level: str
    trusted_keys: dict[identifiers.MemberId, bytes]
    entry: EntrySection | None
    replica: ReplicaSection | None

    def load_key(self) -> ed25519.Ed25519PrivateKey:
        """Return the member's private key.

        :raises OSError: if the file cannot be read.
        :raises TypeError: if the file contains a key of another kind.
        :raises ValueError: if the file contains no private key in PEM.
        """
        return signing.load_key(self.key_file.read_bytes())

    def find_key_fault(self) -> str:
        """Return why the private key cannot be loaded, or an empty string."""
        try:
            self.load_key()
        except (OSError, TypeError, ValueError) as error:
            reason = type(error).__name__
            return (
                f'key_file: bad-value: expected a private key in PEM in '
                f'{self.key_file}: {reason}'
            )
        return ''


SettingsResult = result.Result[ProcessSettings, findings.Findings]


def load_settings(path: pathlib.Path) -> SettingsResult:
    """Return the settings in a file, or what is wrong with it.

    :raises OSError: if the file cannot be read.
    """
    content = path.read_bytes()
    try:
        text = content.decode('utf-8')
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        kind = findings.FindingKind.MALFORMED
        finding = findings.Finding(str(path), line, '', 'UTF-8 text', kind)
        return result.Failure((finding,))
    return parse_settings(str(path), text, path.parent)


def parse_settings(
    name: str,
    text: str,
    folder: pathlib.Path = pathlib.Path(),
) -> SettingsResult:
    """Return the settings in a text, or what is wrong with it.

    :param name: file name that findings show.
    :param folder: folder from which relative paths in the settings start.
    """
    parsed = files.parse_file(name, text)
    if not isinstance(parsed, result.Success):
        return result.Failure(parsed.failure())
    reader = _SettingsReader(parsed.unwrap(), folder)
    settings = reader.read()
    if settings is None or reader.sink:
        return result.Failure(findings.sort_findings(reader.sink))
    return result.Success(settings)


class _SettingsReader:
    """Reads the sections of one file and collects the findings."""

    def __init__(
        self,
        parsed: files.ParsedFile,
        folder: pathlib.Path,
    ) -> None:
        self.sink = list(readers.check_kinds(parsed, _KINDS))
        self._parsed = parsed
        self._folder = folder

    def read(self) -> ProcessSettings | None:
        process = self._find_reader(PROCESS)
        if process is None:
            self._report_missing(PROCESS)
            return None
        entry = self._find_reader(ENTRY)
        replica = self._find_reader(REPLICA)
        if entry is None and replica is None:
            self._report_missing(ENTRY)
        return ProcessSettings(
            member=identifiers.MemberId(process.read_text('member')),
            host=identifiers.HostId(process.read_text('host')),
            region=identifiers.RegionName(process.read_text('region')),
            domain=identifiers.FailureDomain(process.read_text('domain')),
            key_file=self._read_path(process, 'key_file') or self._folder,
            log_level=_read_log_level(process),
            trusted_keys=self._read_trust(),
            entry=self._read_entry(entry) if entry else None,
            replica=self._read_replica(replica) if replica else None,
        )

    def _read_entry(self, reader: readers.SectionReader) -> EntrySection:
        return EntrySection(
            caller_address=_read_address(reader, 'caller_address'),
            control_address=_read_address(reader, 'control_address'),
            replicas=_read_addresses(reader, 'replicas'),
            seeds=_read_addresses(reader, 'seeds'),
            folder=self._read_path(reader, 'folder'),
            drain=reader.read_number('drain'),
            trace_file=str(self._read_path(reader, 'trace_file') or ''),
            trace_collector=reader.read_text('trace_collector'),
            trace_share=reader.read_number('trace_share'),
        )

    def _read_replica(self, reader: readers.SectionReader) -> ReplicaSection:
        return ReplicaSection(
            address=_read_address(reader, 'address'),
            peers=_read_addresses(reader, 'peers'),
            data_folder=self._read_path(reader, 'data_folder') or self._folder,
            founders=_read_addresses(reader, 'founders'),
            first_base=self._read_path(reader, 'first_base'),
        )

    def _read_trust(self) -> dict[identifiers.MemberId, bytes]:
        keys = {}
        for section in self._parsed.sections:
            if section.kind == TRUST.kind:
                reader = self._create_reader(TRUST, section)
                member = identifiers.MemberId(section.name)
                keys[member] = _read_public_key(reader)
        return keys

    def _find_reader(
        self,
        kind: sections.SectionKind,
    ) -> readers.SectionReader | None:
        section = self._parsed.find(kind.kind)
        return self._create_reader(kind, section) if section else None

    def _create_reader(
        self,
        kind: sections.SectionKind,
        section: files.ParsedSection,
    ) -> readers.SectionReader:
        name = self._parsed.name
        self.sink.extend(readers.check_keys(name, section, kind))
        layer = (name, section)
        return readers.SectionReader(kind, (layer,), self.sink)

    def _read_path(
        self,
        reader: readers.SectionReader,
        key: str,
    ) -> pathlib.Path | None:
        text = reader.read_text(key)
        return self._folder / text if text else None

    def _report_missing(self, kind: sections.SectionKind) -> None:
        self.sink.append(
            findings.Finding(
                self._parsed.name,
                1,
                f'[{kind.kind}]',
                f'a section [{kind.kind}]',
                findings.FindingKind.MISSING_SECTION,
            ),
        )


def is_address(text: str) -> bool:
    """Tell whether a text has the form ``ip:port``.

    >>> is_address('127.0.0.1:80'), is_address('localhost'), is_address(':1')
    (True, False, False)
    >>> is_address('999.1:80'), is_address('127.0.0.1:70000')
    (False, False)
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal() or int(port) >= 2**16:
        return False
    if host.replace('.', '').isdecimal():
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            return False
    return True


def _read_addresses(
    reader: readers.SectionReader,
    key: str,
) -> tuple[identifiers.Address, ...]:
    words = reader.read_words(key)
    if not all(is_address(word) for word in words):
        reader.report(
            key,
            'addresses as ip:port',
            findings.FindingKind.BAD_VALUE,
        )
    return tuple(identifiers.Address(word) for word in words)


def _read_address(
    reader: readers.SectionReader,
    key: str,
) -> identifiers.Address:
    text = reader.read_text(key)
    if text and not is_address(text):
        reader.report(
            key,
            'an address as ip:port',
            findings.FindingKind.BAD_VALUE,
        )
    return identifiers.Address(text)


def _read_log_level(reader: readers.SectionReader) -> str:
    level = reader.read_text('log_level').upper()
    if level not in _LOG_LEVELS:
        reader.report(
            'log_level',
            readers.suggest(level, _LOG_LEVELS),
            findings.FindingKind.BAD_VALUE,
        )
    return level


def _read_public_key(reader: readers.SectionReader) -> bytes:
    try:
        key = base64.b64decode(reader.read_text('public_key'), validate=True)
    except (binascii.Error, ValueError):
        key = b''
    if len(key) != _PUBLIC_KEY_BYTES:
        reader.report(
            'public_key',
            'an Ed25519 public key of 32 bytes in base64',
            findings.FindingKind.BAD_VALUE,
        )
    return key
