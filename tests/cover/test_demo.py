import pytest

from swiftjunction import demo


@pytest.mark.anyio
async def test_the_main_job_holds_every_promise():
    lines = []
    result = await demo.run_demo(lines.append)
    assert result.passed(), (result, lines)
