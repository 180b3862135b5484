package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against upstreams that are overloaded in turn while others are idle, because many daemons
 * choose at the same moment by old load reports.
 */
class EvenLoadTest {
  private static final double MAXIMUM_AVOIDABLE_WAITS = 0.05;

  /** The bounds come from the target in docs/design/requirements.md, D2. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldUseIdleSlotsWhenSpeedsDifferAndReportsAreOld(long seed) {
    FleetShape shape = FleetShape.ofThreeSpeeds();
    FleetFigures figures =
        new FleetSimulation(
                shape,
                (loads, pool, tried, now, deadline, random) ->
                    new UpstreamSelection(loads).choose(pool, tried, now, random),
                seed)
            .run();

    assertThat(figures.avoidableWaitShare())
        .as(figures.toString())
        .isLessThanOrEqualTo(MAXIMUM_AVOIDABLE_WAITS);
    assertThat(figures.highWaitMilliseconds())
        .as(figures.toString())
        .isLessThan(shape.meanCallMilliseconds());
  }
}
