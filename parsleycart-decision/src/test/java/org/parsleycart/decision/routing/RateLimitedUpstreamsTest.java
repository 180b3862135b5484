package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.parsleycart.decision.routing.LeavingUpstreamTest.candidate;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.admission.RefusalReason;

/**
 * Most upstreams of a service state a rate that is used up, and others are free. The entry cannot
 * tell them apart by their load, because refused calls do not run.
 */
class RateLimitedUpstreamsTest {
  private static final Duration REMAINING = Duration.ofMillis(800);
  private static final int CALLS = 1000;
  private static final String FREE = "free";

  private final UpstreamLoadTable loads = new UpstreamLoadTable();
  private final UpstreamSelection selection = new UpstreamSelection(loads);
  private final RetryPolicy retries = new RetryPolicy(new RetryBudget(0.1, 2));
  private final Random random = new Random(29);
  private final CandidatePool pool =
      new CandidatePool(
          List.of(candidate("limited-1")),
          List.of(candidate("limited-2"), candidate("limited-3"), candidate(FREE)));
  private Instant now = Instant.EPOCH;

  /** Makes attempts until the free upstream is reached; returns whether it was. */
  private boolean call() {
    now = now.plusMillis(30);
    retries.recordCall("ledger");
    Set<String> tried = new HashSet<>();
    int refusals = 0;
    while (true) {
      Optional<Candidate> chosen = selection.choose(pool, tried, now, random);
      if (chosen.isEmpty() || chosen.get().identifier().equals(FREE)) {
        return chosen.isPresent();
      }
      tried.add(chosen.get().identifier());
      loads.of(chosen.get()).recordRefusal(RefusalReason.RATE_LIMITED, now);
      refusals++;
      if (!retries.acquireRedirect("ledger", refusals, RefusalReason.RATE_LIMITED, REMAINING)) {
        return false;
      }
    }
  }

  /** Guards against refusing callers while an upstream is free. */
  @Test
  void shouldReachTheFreeUpstreamWhenTheRatesOfAllOthersAreUsedUp() {
    assertThat(IntStream.range(0, CALLS).filter(unused -> call()).count()).isEqualTo(CALLS);
  }

  @Test
  void shouldAskAgainSoonWhenARateWasUsedUp() {
    UpstreamLoad load = loads.of(candidate("limited-1"));
    load.recordRefusal(RefusalReason.RATE_LIMITED, now);

    assertThat(load.isEjected(now)).isTrue();
    assertThat(load.isEjected(now.plusMillis(250))).isFalse();
  }
}
