import pathlib

import pytest

from daisypick_core.configuration import check
from daisypick_core.configuration import merge
from daisypick_core.results import codes

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples" / "configuration"

SERVER = (
    '[backend_servers.s]\nservice = "desk"\ndata_centre = "sofia"\n'
    'address = "127.0.0.1:1"\nagent = "127.0.0.1:2"\n'
)
BASE = '[data_centres.sofia]\n[services.desk]\nkind = "plain"\n'
KEY_HASH = "a" * 64


def check_texts(*texts):
    files = [
        merge.SourceFile(f"{position}.toml", text)
        for position, text in enumerate(texts)
    ]
    return check.check(merge.merge(reversed(files)))


def test_example_folder_is_valid_and_each_value_has_its_file():
    files = [
        merge.SourceFile(path.name, path.read_text())
        for path in EXAMPLES.glob("*.toml")
    ]
    checked = check.check(merge.merge(files))
    assert checked.faults == ()
    organisations = checked.configuration.organisations_by_name
    assert len(organisations) >= 8
    assert organisations["plzen-studs"].max_queued == 256
    path = "organisations.plzen-studs"
    assert checked.file_by_key[path] == "40-organisations.toml"
    assert checked.file_by_key[f"{path}.max_queued"] == "50-flood-limits.toml"
    assert checked.file_by_key[f"{path}.max_open"] == check.DEFAULT


def test_later_file_removes_an_entry_and_another_defines_it_again():
    defined = "[organisations.o]\nshare = 9.0\nmax_open = 3"
    removed = "[organisations.o]\nabsent = true"
    checked = check_texts(defined, removed)
    assert checked.configuration.organisations_by_name == {}
    checked = check_texts(defined, removed, "[organisations.o]\nshare = 2.0")
    organisation = checked.configuration.organisations_by_name["o"]
    assert (organisation.share, organisation.max_open) == (2.0, 1024)


@pytest.mark.parametrize(
    ("text", "key", "code", "reason"),
    [
        ("[x.y]", "x", codes.UNKNOWN_SETTING, "is not a section"),
        ("organisations = 1", "organisations", codes.BAD_VALUE, "table"),
        ("[organisations]\no = 1", "organisations.o", codes.BAD_VALUE, "table"),
        ("[[", "", codes.BAD_FILE, "(at "),
        (
            "[organisations.o]\nshares = 1",
            "organisations.o.shares",
            codes.UNKNOWN_SETTING,
            "is not a known key",
        ),
        (
            '[organisations.o]\nshare = "big"',
            "organisations.o.share",
            codes.BAD_VALUE,
            "Expected `float`, got `str`",
        ),
        (
            "[organisations.o]\nshare = nan",
            "organisations.o.share",
            codes.BAD_VALUE,
            "is nan, must be above 0",
        ),
        (
            "[organisations.o]\nmax_open = true",
            "organisations.o.max_open",
            codes.BAD_VALUE,
            "Expected `int`, got `bool`",
        ),
        (
            '[organisations."a/b"]',
            "organisations.a/b",
            codes.BAD_VALUE,
            "name must be",
        ),
        (
            "[organisations.o]\nabsent = true",
            "organisations.o.absent",
            codes.DANGLING_NAME,
            "no earlier file has the organisation 'o'",
        ),
        (
            "[organisations.o]\nabsent = true\nshare = 1.0",
            "organisations.o.absent",
            codes.BAD_VALUE,
            "the only key",
        ),
        (
            f'[organisations.a]\nkey_hashes = ["{KEY_HASH}"]\n'
            f'[organisations.b]\nkey_hashes = ["{KEY_HASH}"]',
            "organisations.b.key_hashes",
            codes.DUPLICATE_VALUE,
            "aaaaaaaa... belongs to organisation 'a'",
        ),
        (
            "[services.s]",
            "services.s.model",
            codes.MISSING_KEY,
            "is required",
        ),
        (
            '[services.s]\nkind = "plain"\nmodel = "m"',
            "services.s.model",
            codes.BAD_VALUE,
            "must not be set",
        ),
        (
            '[services.s]\nkind = "plain"\n'
            'not_repeatable = [{method = "POST", path = "/", once = 1}]',
            "services.s.not_repeatable",
            codes.BAD_VALUE,
            "has unknown keys ['once']",
        ),
        (
            BASE + SERVER + "slots = 2\ncold_slots = 3",
            "backend_servers.s.cold_slots",
            codes.BAD_VALUE,
            "is 3, above slots = 2",
        ),
        (
            BASE + SERVER.replace('"desk"', '"deks"'),
            "backend_servers.s.service",
            codes.DANGLING_NAME,
            "no service 'deks' is defined",
        ),
        (
            BASE + SERVER.replace("127.0.0.1:2", "127.0.0.1:1"),
            "backend_servers.s.agent",
            codes.DUPLICATE_VALUE,
            "is also used by backend_servers.s.address",
        ),
        (
            BASE + SERVER.replace("127.0.0.1:2", "localhost:2"),
            "backend_servers.s.agent",
            codes.BAD_VALUE,
            "must be an IP address",
        ),
        (
            BASE + SERVER.replace('data_centre = "sofia"\n', ""),
            "backend_servers.s.data_centre",
            codes.MISSING_KEY,
            "is required for each backend server",
        ),
    ],
)
def test_fault(text, key, code, reason):
    checked = check_texts(text)
    assert checked.configuration is None
    (fault,) = checked.faults
    assert (fault.file, fault.key, fault.code) == ("0.toml", key, code)
    assert reason in fault.reason


def test_all_faults_are_reported_at_once_with_the_overriding_file():
    checked = check_texts(
        "[organisations.o]\nshare = 1.0\nmax_open = 0",
        "[organisations.o]\nshare = -1.0",
    )
    assert [(fault.file, fault.key) for fault in checked.faults] == [
        ("0.toml", "organisations.o.max_open"),
        ("1.toml", "organisations.o.share"),
    ]


def test_plaintext_key_in_place_of_its_hash_is_not_repeated():
    (fault,) = check_texts(
        '[organisations.o]\nkey_hashes = ["my-secret"]'
    ).faults
    assert "my-secret" not in str(fault)
