package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.membership.AnnouncedUpstream;

/**
 * An upstream leaves while the daemon beside it restarts. The new process does not know that the
 * upstream leaves, and announces it again until an answer or a heartbeat tells.
 */
class LeavingUpstreamTest {
  private static final Instant NOW = Instant.EPOCH;
  private static final Candidate LEAVING = candidate("leaving");
  private static final Candidate OTHER = candidate("other");

  private final UpstreamLoadTable loads = new UpstreamLoadTable();
  private final UpstreamSelection selection = new UpstreamSelection(loads);

  static Candidate candidate(String identifier) {
    return new Candidate(
        new AnnouncedUpstream(identifier, "ledger", "v1", 10, false),
        "10.0.0.1:7400",
        "abdali",
        "10.0.0.1:7402");
  }

  private Optional<Candidate> choose(Instant at, Candidate... candidates) {
    return selection.choose(
        new CandidatePool(List.of(candidates), List.of()), Set.of(), at, new Random(29));
  }

  private void restartDaemonBesideLeavingUpstream() {
    loads.of(LEAVING).recordLeaving(NOW);
    loads.retainOnly(Stream.of(OTHER), NOW);
    loads.retainOnly(Stream.of(LEAVING, OTHER), NOW.plusSeconds(1));
  }

  /** Guards against calls to an upstream that told this daemon that it leaves. */
  @Test
  void shouldChooseAnotherUpstreamWhenADaemonAnnouncesTheLeavingOneAgain() {
    restartDaemonBesideLeavingUpstream();

    Instant later = NOW.plusSeconds(5);
    assertThat(choose(later, LEAVING, OTHER)).contains(OTHER);
    assertThat(choose(later, LEAVING)).isEmpty();
  }

  @Test
  void shouldChooseUpstreamAgainWhenItHasNotSaidForLongThatItLeaves() {
    restartDaemonBesideLeavingUpstream();

    assertThat(choose(NOW.plus(Duration.ofMinutes(1)), LEAVING)).contains(LEAVING);
  }

  @Test
  void shouldForgetLeavingUpstreamsWhenTheyAreGoneForLong() {
    loads.of(LEAVING).recordLeaving(NOW);
    loads.retainOnly(Stream.of(OTHER), NOW.plus(Duration.ofMinutes(1)));

    assertThat(loads.of(LEAVING).isLeaving(NOW)).isFalse();
  }
}
