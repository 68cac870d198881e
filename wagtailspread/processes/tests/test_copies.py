"""Tests of the configuration on hosts and in the state machine."""

import base64
import itertools

import pytest

from wagtailspread.configuration import deltas, key_digests
from wagtailspread.configuration import signatures, versions
from wagtailspread.core import identifiers
from wagtailspread.entry import subscriptions
from wagtailspread.processes import copies, machines
from wagtailspread.testing import fleets
from wagtailspread.wire import messages, signing
from wagtailspread.workspaces import keys

KEY = signing.create_key()
MEMBER = identifiers.MemberId(fleets.MEMBER)
PUBLIC = signing.public_bytes(KEY)


def create_base(floor):
    text = fleets.BASE_FILE.format(
        member=MEMBER,
        public_key=base64.b64encode(PUBLIC).decode(),
        hosts=2,
    )
    return text.replace('floor = 50%', f'floor = {floor}%')


def create_copy():
    return copies.ConfigurationCopy(MEMBER, {MEMBER: PUBLIC})


def create_deltas():
    """Return the full text of version 1 and the deltas to 2 and 3."""
    texts = [{'base.ini': create_base(floor)} for floor in (50, 60, 70)]
    created = [deltas.create_full(texts[0], 1)]
    for number in (1, 2):
        created.append(
            deltas.compute_delta(
                texts[number - 1],
                texts[number],
                number,
                number + 1,
            ),
        )
    return created


def write_last_version():
    copy = create_copy()
    for delta in create_deltas():
        copy.apply(delta).unwrap()
    return copy.read_delta(0)


def read_floor(copy):
    return round(copy.settings.services['vitrina'].floor * 100)


@pytest.mark.parametrize('order', list(itertools.permutations(range(3))))
def test_version_never_decreases_in_any_order_of_deltas(order):
    """Guards against a delayed delta that reverts a newer configuration."""
    created = create_deltas()
    copy = create_copy()
    versions_seen = []
    for number in (*order, *order):
        copy.apply(created[number])
        versions_seen.append(copy.version)
    assert versions_seen == sorted(versions_seen)
    if copy.version:
        assert read_floor(copy) == 40 + 10 * copy.version


def test_delta_from_another_version_is_refused():
    """Guards against a mix of versions that was never accepted."""
    first, _, third = create_deltas()
    copy = create_copy()
    copy.apply(first)
    assert isinstance(copy.apply(third).failure(), copies.StaleDelta)
    assert (copy.version, read_floor(copy)) == (1, 50)


async def test_restarted_host_loads_the_saved_copy(tmp_path):
    """Guards against a host that cannot serve until a replica answers."""
    file = subscriptions.CopyFile(tmp_path)
    file.write(write_last_version())
    restarted = create_copy()
    subscriptions.Subscription(restarted, None, list, None, None, file)
    assert (restarted.version, read_floor(restarted)) == (3, 70)
    assert restarted.match('GET', '/columns/1').service == 'vitrina'


async def test_damaged_copy_is_ignored(tmp_path):
    """Guards against a host that cannot start after an interrupted write."""
    file = subscriptions.CopyFile(tmp_path)
    file.write(write_last_version())
    path = tmp_path / 'configuration.bin'
    path.write_bytes(path.read_bytes()[:40])
    copy = create_copy()
    subscriptions.Subscription(copy, None, list, None, None, file)
    assert copy.version == 0
    copy.apply(create_deltas()[0]).unwrap()


def test_workspaces_follow_the_version_in_force():
    """Guards against a key that is served after it was taken away."""
    copy = create_copy()
    assert not copy.workspaces
    base = create_base(50)
    digest = key_digests.compute_digest('k1').hex()
    section = f'\n[workspace w1]\nkeys = {digest}\npriority = bulk\n'
    for version, text in enumerate((base + section, base), start=1):
        copy.apply(
            deltas.create_full({'base.ini': text}, version),
        ).unwrap()
        found = copy.workspaces.find(keys.compute_digest('k1'))
        assert (found is not None) == (version == 1)
        assert found is None or (found.name, found.priority) == ('w1', 2)


def test_peer_with_an_older_version_gets_the_full_configuration():
    """Guards against a peer that is outdated until a replica answers."""
    copy = create_copy()
    for delta in create_deltas():
        copy.apply(delta)
    peer = create_copy()
    peer.apply(copy.read_delta(peer.version)).unwrap()
    assert (peer.version, read_floor(peer)) == (3, 70)
    peer.apply(copy.read_delta(peer.version)).failure()


def test_initial_base_file_is_applied_only_once():
    """Guards against replicas without keys, or with a replaced base file."""
    machine = machines.create_machine()
    machine.configuration.start(create_base(50))
    assert machine.configuration.version == 1
    assert machine.configuration.find_key(MEMBER) == PUBLIC
    assert machine.configuration.find_lifetime('contratos') > 0
    machine.configuration.start(create_base(60))
    assert machine.configuration.version == 1


def test_restored_machine_has_the_same_configuration():
    """Guards against a snapshot that loses the configuration."""
    machine = machines.create_machine()
    machine.configuration.start(create_base(50))
    restored = machines.create_machine()
    restored.restore(machine.take_snapshot())
    assert restored.configuration.version == 1
    assert isinstance(
        restored.configuration.state,
        versions.ConfigurationState,
    )
    assert messages.encode(
        restored.configuration.delta_since(0),
    ) == messages.encode(machine.configuration.delta_since(0))


def test_status_lists_members_that_have_not_approved_a_candidate():
    """Guards against a pending change whose missing approvals are hidden."""
    machine = machines.create_machine()
    base = create_base(50)
    machine.configuration.start(base)
    candidate = signing.public_bytes(signing.create_key())
    key = base64.b64encode(candidate).decode()
    section = f'[member costa-norte]\npublic_key = {key}\n\n[region centro'
    submission = messages.structs.Submission(
        id='add',
        based_on=1,
        files=[
            messages.structs.SubmittedFile(
                name='base.ini',
                text=base.replace('[region centro', section, 1),
            ),
        ],
        member=MEMBER,
        signature=b'',
    )
    signatures.sign_submission(submission, KEY)
    assert machine.configuration.submit(submission).status == 'accepted'
    status = machine.configuration.describe()
    assert status['members'] == [MEMBER]
    assert [row['subject'] for row in status['pending']] == ['costa-norte']
    assert status['pending'][0]['missing'] == [MEMBER]
