package org.parsleycart.decision.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UsageCountsTest {
  private static final UsageWindows WINDOWS = new UsageWindows(Duration.ofSeconds(5));
  private static final Optional<String> PULO = Optional.of("pulo780");

  private Instant now = Instant.ofEpochSecond(100);
  private final UsageCounts counts = new UsageCounts(WINDOWS, Duration.ofSeconds(20), () -> now);

  @Test
  void shouldCountInTheWindowInWhichTheRequestWasSent() {
    long window = counts.recordBegun(PULO);
    now = now.plusMillis(4999);
    counts.recordBegun(PULO);
    now = now.plusMillis(1);
    counts.recordBegun(PULO);
    counts.recordBegun(Optional.empty());

    assertThat(window).isEqualTo(20);
    assertThat(counts.all())
        .containsExactly(
            new WindowCounts(20, Map.of("pulo780", 2L)),
            new WindowCounts(21, Map.of("pulo780", 1L)));
  }

  /** Guards against requests that count although the upstream said that it did not run them. */
  @Test
  void shouldWithdrawRequestsThatDidNotRunFromTheirWindow() {
    long window = counts.recordBegun(PULO);
    counts.recordBegun(PULO);
    now = now.plusSeconds(5);
    counts.recordBegun(PULO);

    counts.recordNotRun(PULO, window);
    counts.recordNotRun(PULO, window);
    counts.recordNotRun(PULO, window);

    assertThat(counts.of(List.of(20L, 21L)))
        .containsExactly(
            new WindowCounts(20, Map.of()), new WindowCounts(21, Map.of("pulo780", 1L)));
  }

  /** Guards against windows that are kept for ever, also those of a wall clock that was ahead. */
  @Test
  void shouldForgetOldWindowsAndThoseFarAhead() {
    now = Instant.ofEpochSecond(100_000);
    counts.recordBegun(PULO);
    now = Instant.ofEpochSecond(100);
    counts.recordBegun(PULO);
    now = Instant.ofEpochSecond(131);
    counts.recordBegun(PULO);

    assertThat(counts.all()).extracting(WindowCounts::window).containsExactly(26L);
  }

  /** Guards against sums that grow when the answer of a daemon arrives twice. */
  @Test
  void shouldAddEachProcessOnceWhenItsCountsAreMergedAgain() {
    GatheredUsage gathered = new GatheredUsage();
    DaemonUsage first = usage("a", 1, 3);
    gathered.merge(first, Set.of(20L));
    gathered.merge(usage("a", 2, 4), Set.of(20L));
    gathered.merge(first, Set.of(20L));
    gathered.merge(usage("b", 1, 5), Set.of(20L, 21L));

    assertThat(gathered.sums(20)).isEqualTo(new WindowCounts(20, Map.of("pulo780", 12L)));
    assertThat(gathered.sums(21)).isEqualTo(WindowCounts.empty(21));
    assertThat(gathered.missing(20, Set.of("a", "b", "c"))).containsExactly("c");
    assertThat(gathered.missing(21, Set.of("a", "b"))).containsExactly("a");
  }

  private static DaemonUsage usage(String daemon, long incarnation, long count) {
    return new DaemonUsage(
        daemon, incarnation, List.of(new WindowCounts(20, Map.of("pulo780", count))));
  }
}
