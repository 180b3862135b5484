package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.admission.SlotUsage.RouteUsage;
import org.parsleycart.decision.admission.SlotUsage.Window;

class SlotUsageTest {
  private static final Instant START = Instant.EPOCH;

  private final SlotUsage usage = new SlotUsage();

  private static Duration milliseconds(long count) {
    return Duration.ofMillis(count);
  }

  @Test
  void shouldSumUpUsageOfEachRouteWhenWindowEnds() {
    assertThat(usage.recordEnd("read", milliseconds(5), milliseconds(70), START)).isEmpty();
    assertThat(usage.recordEnd("read", milliseconds(7), milliseconds(90), START)).isEmpty();
    assertThat(usage.recordRefusal("bulk", START.plusMillis(900))).isEmpty();

    assertThat(usage.recordRefusal("read", START.plusMillis(1100)))
        .contains(
            new Window(
                milliseconds(1100),
                Map.of(
                    "read", new RouteUsage(2, milliseconds(160), milliseconds(12), 0),
                    "bulk", new RouteUsage(0, Duration.ZERO, Duration.ZERO, 1))));
  }

  @Test
  void shouldCountEventThatEndsWindowInTheNextOne() {
    usage.recordRefusal("read", START);
    usage.recordRefusal("read", START.plusSeconds(1));

    assertThat(usage.recordRefusal("read", START.plusSeconds(2)))
        .map(Window::usageByRoute)
        .contains(Map.of("read", new RouteUsage(0, Duration.ZERO, Duration.ZERO, 1)));
  }

  @Test
  void shouldBeContendedOnlyWhenCallsWaitedOrWereRefused() {
    usage.recordEnd("read", Duration.ZERO, milliseconds(70), START);

    assertThat(usage.recordEnd("read", milliseconds(1), milliseconds(70), START.plusSeconds(1)))
        .map(Window::isContended)
        .contains(false);
    assertThat(usage.recordRefusal("read", START.plusSeconds(2)))
        .map(Window::isContended)
        .contains(true);
    assertThat(usage.recordRefusal("read", START.plusSeconds(3)))
        .map(Window::isContended)
        .contains(true);
  }

  @Test
  void shouldBoundTheRoutesOfWindow() {
    IntStream.range(0, 1_000).forEach(number -> usage.recordRefusal("route-" + number, START));

    assertThat(usage.recordRefusal("read", START.plusSeconds(1)).orElseThrow().usageByRoute())
        .hasSize(32);
  }
}
