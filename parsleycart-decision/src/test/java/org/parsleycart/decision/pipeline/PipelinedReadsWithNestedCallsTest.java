package org.parsleycart.decision.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.decision.pipeline.PipelineSimulation.CallClass;
import org.parsleycart.decision.pipeline.PipelineSimulation.Fleet;

/**
 * Load: reads arrive on connections that all callers beside a daemon share, without waiting for
 * earlier responses. Most make two calls to a second service, whose slots other callers use as
 * well. Both services have a third of their slots free.
 *
 * <p>Guards against handling such reads one after the other, when the time for which they wait on
 * their connection counts for the caller and for no decision.
 */
class PipelinedReadsWithNestedCallsTest {
  /** The target for the worth that is earned. */
  private static final double MINIMUM_IN_TIME = 0.80;

  private static final Fleet FLEET =
      new Fleet(40, 2, 8, List.of(1.4, 1.0, 0.7), 32, List.of(1.4, 1.0, 1.0, 0.7), 8);

  private static final CallClass READ =
      new CallClass(
          "read", 330, Duration.ofMillis(276), Duration.ofMillis(834), Duration.ofMillis(1200));
  private static final CallClass WRITE =
      new CallClass(
          "write", 165, Duration.ofMillis(362), Duration.ofMillis(1037), Duration.ofMillis(1500));
  private static final CallClass VIEW =
      new CallClass(
          "view", 100, Duration.ofMillis(114), Duration.ofMillis(534), Duration.ofMillis(1282));

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void shouldAnswerMostReadsInTimeWhenTheyAreSentAheadOnSharedConnections(long seed) {
    PipelineSimulation simulation = new PipelineSimulation(FLEET, READ, WRITE, VIEW, seed);

    double[] inTime = simulation.run(Duration.ofSeconds(12));

    assertThat(IntStream.range(0, inTime.length).mapToObj(index -> inTime[index]))
        .as("share in time of reads, writes and views: %s", Arrays.toString(inTime))
        .allMatch(share -> share >= MINIMUM_IN_TIME);
  }
}
