import msgspec

from daisypick_lab import comparison
from daisypick_lab import deployments
from daisypick_lab import report
from daisypick_lab import results
from daisypick_lab import run


def test_run_without_violations_and_its_report(tmp_path):
    # A whole fleet over real sockets, while a data centre is taken out of
    # service under load and restored: each response must be complete and
    # belong to its request, nothing may run twice, and a request refused as
    # "not run" must not have run.
    deployment = deployments.DEMO._replace(
        engine=deployments.DEMO.engine._replace(token_interval=0.002),
        profiles=tuple(
            profile._replace(workers=min(2, profile.workers))
            for profile in deployments.DEMO.profiles
        ),
    )
    plan = run.Plan(ramp=0.2, steady=0.3, out=0.3, back=0.3)
    messages = []
    subject = run.Run(
        deployment=deployment,
        plan=plan,
        seed=1,
        report_progress=messages.append,
    )
    result = subject.run()
    assert result.verdict == results.VerdictResult(
        wrong=[],
        broken=[],
        ran_twice=[],
        untrue_refusals=[],
        unfinished=False,
    )
    assert [phase.name for phase in result.phases] == ["steady", "out", "back"]
    assert sum(own.whole for own in result.organisations) > 20
    assert all(own.wrong + own.broken == 0 for own in result.organisations)
    text = report.render(result)
    assert "verdict: good" in text
    assert "balkan-farms" in text
    file = tmp_path / "earlier.json"
    file.write_bytes(msgspec.json.encode([result]))
    assert comparison.read(str(file)) == [result]
    assert "demo steady: utilisation" in comparison.render([result], [result])
    file.write_bytes(b"[{}]")
    assert comparison.read(str(file)).startswith(f"compare: {file}: ")
