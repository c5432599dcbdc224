from tests.cover import test_batches_planning

# More failures in a row than a float has powers of two.
FAILURE_COUNT = 1100


def test_the_backoff_of_an_engine_that_fails_for_long_stays_bounded():
    # Guards against an uncaught overflow in the task that runs the batches.
    pool = test_batches_planning.EnginePool(count=1)
    engine = pool.get_engine('e0')
    for _ in range(FAILURE_COUNT):
        engine.record_failure()
    assert not engine.can_run('m', 1)
    pool.clock.now += 2.0
    assert engine.can_run('m', 1)
