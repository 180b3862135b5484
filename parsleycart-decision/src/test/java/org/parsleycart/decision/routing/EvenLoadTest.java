package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against upstreams that are overloaded in turn while others are idle, because many daemons
 * choose at the same moment by old load reports.
 */
class EvenLoadTest {
  private static final double MAXIMUM_AVOIDABLE_WAITS = 0.05;

  /** Differences of the answered share up to this are within the spread between seeds. */
  private static final double SPREAD_BETWEEN_SEEDS = 0.005;

  private static FleetFigures run(FleetShape shape, Balancing balancing, long seed) {
    return new FleetSimulation(
            shape,
            (loads, pool, tried, now, deadline, random) ->
                new UpstreamSelection(loads, balancing).choose(pool, tried, now, deadline, random),
            seed)
        .run();
  }

  /** The bound comes from the target in docs/design/requirements.md, D2. */
  @Tag("known-red")
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldUseIdleSlotsWhenSpeedsDifferAndReportsAreOld(long seed) {
    FleetFigures figures = run(FleetShape.ofThreeSpeeds(), Balancing.EXPECTED_END, seed);

    assertThat(figures.avoidableWaitShare())
        .as(figures.toString())
        .isLessThanOrEqualTo(MAXIMUM_AVOIDABLE_WAITS);
  }

  /** The bound comes from the target in docs/design/requirements.md, D2. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldKeepWaitsShortWhenSpeedsDifferAndReportsAreOld(long seed) {
    FleetShape shape = FleetShape.ofThreeSpeeds();
    FleetFigures figures = run(shape, Balancing.EXPECTED_END, seed);

    assertThat(figures.highWaitMilliseconds())
        .as(figures.toString())
        .isLessThan(shape.meanCallMilliseconds());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldHalveAvoidableWaitsAndSwingOfQueuesWhenComparedToTwoChoices(long seed) {
    FleetFigures before = run(FleetShape.ofThreeSpeeds(), Balancing.TWO_CHOICES, seed);
    FleetFigures after = run(FleetShape.ofThreeSpeeds(), Balancing.EXPECTED_END, seed);

    assertThat(after.avoidableWaitShare())
        .as("%s, before %s", after, before)
        .isLessThan(before.avoidableWaitShare() / 2);
    assertThat(after.queueSwing())
        .as("%s, before %s", after, before)
        .isLessThan(before.queueSwing() / 2);
  }

  /** Guards small fleets of equal upstreams, which are served well by two choices. */
  @ParameterizedTest
  @CsvSource({"0.7, 1", "0.7, 2", "1.3, 1", "1.3, 2"})
  void shouldBeNoWorseThanTwoChoicesWhenUpstreamsAreEqual(double load, long seed) {
    FleetFigures before = run(FleetShape.ofEqualSpeeds(load), Balancing.TWO_CHOICES, seed);
    FleetFigures after = run(FleetShape.ofEqualSpeeds(load), Balancing.EXPECTED_END, seed);

    assertThat(after.answeredShare())
        .as("%s, before %s", after, before)
        .isGreaterThan(before.answeredShare() - SPREAD_BETWEEN_SEEDS);
    assertThat(after.avoidableWaitShare())
        .as("%s, before %s", after, before)
        .isLessThanOrEqualTo(before.avoidableWaitShare());
  }
}
