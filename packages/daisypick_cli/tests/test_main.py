import json
import pathlib
import shutil

from cleo.testers import application_tester
import gevent
import pytest

from daisypick_cli import exit_codes
from daisypick_cli import main
from daisypick_node import settings as settings_module
from daisypick_node.agent import process as agent_process
from daisypick_node.platform import http as http_platform
from daisypick_standins.platform import faults
from daisypick_standins.platform import server as platform_server

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "configuration"
KEYS = {"fleet_keys": "fleet-key-1", "operator_keys": "operator-key-1"}


@pytest.fixture
def platform(monkeypatch):
    platform = platform_server.Platform()
    platform.start()
    monkeypatch.setenv("DAISYPICK_PLATFORM", platform.address)
    monkeypatch.setenv("DAISYPICK_OPERATOR_KEY", "")
    yield platform
    platform.set_faults(faults.Faults())
    platform.stop()


@pytest.fixture
def folder(tmp_path, monkeypatch):
    shutil.copytree(EXAMPLES, tmp_path / "configuration")
    monkeypatch.setenv("DAISYPICK_FOLDER", str(tmp_path / "configuration"))
    return tmp_path / "configuration"


@pytest.fixture
def agent(platform):
    """The agent of assistant-1, in the data centre that the folder names."""
    agent = agent_process.AgentProcess(
        settings=settings_module.AgentSettings(
            listen="127.0.0.1:0",
            data_centre="sofia",
            platform=platform.address,
            name="assistant-1",
            **KEYS,
        ),
        platform=http_platform.HttpPlatformClient(address=platform.address),
    )
    agent.start()
    yield agent
    agent.stop()


def run(command):
    tester = application_tester.ApplicationTester(main.make_application())
    code = tester.execute(command)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def run_json(command):
    code, output, _ = run(f"{command} --json")
    return code, json.loads(output)


def add(folder, name, text):
    (folder / name).write_text(text)


def test_check_lists_all_faults_and_show_names_the_files(folder):
    assert run("check")[0] == exit_codes.OK
    code, output, _ = run("show organisations.plzen-studs")
    assert code == exit_codes.OK
    assert "max_queued = 256    # 50-flood-limits.toml" in output
    assert "max_open = 1024    # (default)" in output
    assert "union" not in output
    add(folder, "90-bad.toml", "[organisations.union]\nshare = 0\nsha = 1")
    (folder / "91-bad.toml").write_bytes(b"\xff")
    code, found = run_json("check")
    assert code == exit_codes.FAULTS
    assert [
        (one["file"], one["key"], one["code"]) for one in found["faults"]
    ] == [
        ("90-bad.toml", "organisations.union.sha", 6001),
        ("90-bad.toml", "organisations.union.share", 6002),
        ("91-bad.toml", "", 6005),
    ]


def test_empty_folder_is_a_fault_not_an_empty_configuration(tmp_path):
    code, _, error = run(f"check --folder {tmp_path}")
    assert (code, "has no .toml file" in error) == (exit_codes.FAULTS, True)


def test_second_apply_of_the_same_folder_changes_nothing(platform, folder):
    code, found = run_json("diff")
    assert (code, found["generation"]) == (exit_codes.DIFFERENT, 0)
    code, found = run_json("apply")
    assert (code, found["generation"], found["is_new"]) == (0, 1, True)
    assert run("diff")[:2] == (exit_codes.OK, "No difference.\n")
    code, found = run_json("apply")
    assert (code, found["generation"], found["is_new"]) == (0, 1, False)
    add(folder, "60-more.toml", "[organisations.union]\nshare = 2.0")
    code, found = run_json("apply")
    assert found["changes"] == ["organisations.union.share: 16.0 -> 2.0"]


def test_apply_that_would_revert_another_operators_change_is_refused(
    platform, folder, tmp_path
):
    # Two operators have a copy of the folder each. The second applies a file
    # that the first does not have. The first one's apply would silently
    # revert it; it is refused until the file is in that folder too.
    run("apply")
    other = tmp_path / "other"
    shutil.copytree(folder, other)
    add(other, "60-other.toml", "[organisations.studio]\nshare = 3.0")
    assert run(f"apply --folder {other}")[0] == exit_codes.OK
    add(folder, "61-mine.toml", "[organisations.union]\nshare = 5.0")
    code, found = run_json("apply")
    assert (code, found["code"]) == (exit_codes.CONFLICT, 6004)
    assert found["changes"] == ["organisations.studio.share: 16.0 -> 3.0"]
    shutil.copy(other / "60-other.toml", folder)
    code, found = run_json("apply")
    assert (code, found["generation"]) == (exit_codes.OK, 3)
    assert found["changes"] == ["organisations.union.share: 16.0 -> 5.0"]


def test_folder_without_record_does_not_revert_the_stored_configuration(
    platform, folder
):
    run("apply")
    (folder / ".daisypick.json").unlink()
    assert run("apply")[0] == exit_codes.OK
    (folder / ".daisypick.json").unlink()
    add(folder, "60-mine.toml", "[organisations.union]\nshare = 5.0")
    code, _, error = run("apply")
    assert (code, "--overwrite 1" in error) == (exit_codes.CONFLICT, True)
    assert run("apply --overwrite 0")[0] == exit_codes.CONFLICT
    assert run("apply --overwrite x")[0] == exit_codes.USAGE
    assert run("apply --overwrite 1")[0] == exit_codes.OK


def test_data_centre_out_changes_nothing_else(platform, folder):
    # The folder has an edit that is not applied yet. It must neither block
    # taking the data centre out of service nor be applied with that change.
    run("apply")
    add(folder, "60-mine.toml", "[organisations.union]\nshare = 5.0")
    code, found = run_json("data-centre out varna")
    assert (code, found["changes"]) == (
        exit_codes.OK,
        ["data_centres.varna.is_in: true -> false"],
    )
    written = folder / "zz-000001-data-centre-varna-out.toml"
    assert written.read_text() == '[data_centres."varna"]\nis_in = false\n'
    assert run_json("apply")[1]["changes"] == [
        "organisations.union.share: 16.0 -> 5.0"
    ]
    assert run_json("data-centre in varna")[1]["generation"] == 4
    assert (folder / "zz-000002-data-centre-varna-in.toml").exists()
    assert run("diff")[0] == exit_codes.OK
    code, _, error = run("data-centre out nowhere")
    assert (code, "'nowhere'" in error) == (exit_codes.FAULTS, True)


def test_outage_is_reported_and_the_change_stays_in_the_folder(
    platform, folder
):
    run("apply")
    platform.set_faults(faults.Faults(outage=faults.UNAVAILABLE))
    code, _, error = run("data-centre out varna --wait 0")
    assert (code, "[7001]" in error) == (exit_codes.UNAVAILABLE, True)
    platform.set_faults(faults.Faults())
    assert run_json("apply")[1]["changes"] == [
        "data_centres.varna.is_in: true -> false"
    ]


def test_lost_response_is_no_conflict_and_no_second_generation(
    platform, folder
):
    # Both writes of the apply, the pack's and the root's, take effect, but
    # their connections break before the responses. The apply succeeds with
    # one generation.
    platform.set_faults(faults.Faults(lose_answers=2))
    code, found = run_json("apply")
    assert (code, found["generation"], found["is_new"]) == (0, 1, True)


def test_processes_are_notified_dumped_and_summarised(
    platform, folder, agent, monkeypatch
):
    monkeypatch.setenv("DAISYPICK_OPERATOR_KEY", "operator-key-1")
    servers = folder / "30-backend-servers.toml"
    text = servers.read_text().replace("127.0.0.1:19001", agent.address)
    servers.write_text(text)
    code, found = run_json("apply")
    assert (code, found["asked"]) == (exit_codes.OK, 4)
    assert found["told"] == 1
    with gevent.Timeout(10):
        while agent.generation != 1:
            gevent.sleep(0.01)
    code, dump = run_json(f"dump {agent.address}")
    assert (code, dump["kind"], dump["generation"]) == (0, "agent", 1)
    assert "operator-key-1" not in json.dumps(dump)
    code, found = run_json("status")
    sofia = found["data_centres"][0]
    assert (sofia["name"], sofia["answered"], sofia["behind"]) == (
        "sofia",
        1,
        0,
    )
    assert len(found["unreachable"]) == 4
    code, _, error = run(f"explain r1 --at {agent.address}")
    assert (code, "[7005]" in error) == (exit_codes.UNAVAILABLE, True)
    assert run("dump nowhere")[0] == exit_codes.FAULTS
    # An apply notifies two agents of each data centre, and all agents of a
    # data centre that is taken out of service, of which sofia has three.
    code, found = run_json("data-centre out sofia")
    assert (code, found["asked"], found["told"]) == (exit_codes.OK, 5, 1)
    monkeypatch.setenv("DAISYPICK_OPERATOR_KEY", "wrong")
    assert run(f"dump {agent.address}")[0] == exit_codes.UNAVAILABLE


def test_commands_have_help_with_examples_and_exit_codes():
    application = main.make_application()
    for name in ("check", "diff", "apply", "show", "status", "dump"):
        text = application.find(name).help
        assert "Examples:" in text
        assert "Exit codes:" in text
    assert "#compdef" in run("completions zsh")[1]
