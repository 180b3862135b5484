package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.spreading.PullProgress.Stage;

/**
 * Guards against daemons that read a large configuration from the platform while a peer delivers
 * it, so that both come late.
 */
class PullProgressTest {
  private static final Instant START = Instant.ofEpochSecond(100);
  private static final Optional<Instant> BEHIND = Optional.of(START);

  private final PullProgress progress = new PullProgress();

  private static Instant after(long milliseconds) {
    return START.plusMillis(milliseconds);
  }

  @Test
  void shouldNotBeStalledWhenNoPeerHoldsANewerVersion() {
    assertThat(progress.isStalled(Optional.empty(), after(60_000))).isFalse();
  }

  @Test
  void shouldBeStalledWhenNoPeerAcceptsAConnection() {
    assertThat(progress.isStalled(BEHIND, after(100))).isFalse();
    assertThat(progress.isStalled(BEHIND, after(400))).isTrue();
  }

  @Test
  void shouldNotBeStalledWhileAnAnswerArrivesOverASlowLink() {
    progress.enter(Stage.RECEIVING, after(250));

    assertThat(progress.isStalled(BEHIND, after(1200))).isFalse();
    assertThat(progress.isStalled(BEHIND, after(1300))).isTrue();
  }

  @Test
  void shouldNotBeStalledWhileAnAnswerIsApplied() {
    progress.enter(Stage.RECEIVING, after(250));
    progress.enter(Stage.APPLYING, after(600));

    assertThat(progress.isStalled(BEHIND, after(2000))).isFalse();
  }

  @Test
  void shouldCountAnewWhenAPullHasEnded() {
    progress.enter(Stage.APPLYING, after(600));
    progress.enter(Stage.WAITING, after(1500));

    assertThat(progress.isStalled(BEHIND, after(1600))).isFalse();
    assertThat(progress.isStalled(BEHIND, after(1900))).isTrue();
  }

  @Test
  void shouldBeStalledWhenDaemonFallsBehindLongAfterTheLastPull() {
    progress.enter(Stage.WAITING, START.minusSeconds(60));

    assertThat(progress.isStalled(BEHIND, after(200))).isFalse();
    assertThat(progress.isStalled(BEHIND, after(400))).isTrue();
  }
}
