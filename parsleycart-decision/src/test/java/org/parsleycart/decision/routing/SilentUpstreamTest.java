package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.model.Contract;
import org.parsleycart.model.RequestKind;

/**
 * Calls to an upstream that never responds. An idempotent call must be given up while another
 * upstream can still respond in time; a call that runs at most once must not.
 */
class SilentUpstreamTest {
  private static final Duration OBJECTIVE = Duration.ofMillis(600);
  private static final Duration DEADLINE = Duration.ofMillis(1500);
  private static final int ATTEMPTS = 2;

  private static Contract contract(RequestKind kind, int maximumAttempts) {
    return new Contract("lookup", kind, DEADLINE, OBJECTIVE, maximumAttempts);
  }

  private static Optional<Duration> patience(int usualMilliseconds, int remainingMilliseconds) {
    return ResponsePatience.of(
        contract(RequestKind.INTERACTIVE_READ, ATTEMPTS),
        Duration.ofMillis(usualMilliseconds),
        Duration.ofMillis(remainingMilliseconds));
  }

  @ParameterizedTest
  @CsvSource({"0, 1500, 600", "150, 1500, 600", "300, 1500, 900", "150, 800, 600"})
  void shouldGiveUpWhileAnotherUpstreamCanRespond(int usual, int remaining, int expected) {
    assertThat(patience(usual, remaining)).contains(Duration.ofMillis(expected));
  }

  @ParameterizedTest
  @CsvSource({"0, 600", "0, 604", "150, 700", "400, 1500", "1000, 1500"})
  void shouldWaitUntilDeadlineWhenNoOtherUpstreamCouldRespondInTime(int usual, int remaining) {
    assertThat(patience(usual, remaining)).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = RequestKind.class,
      names = {"NON_IDEMPOTENT_WRITE", "UPLOAD"})
  void shouldWaitUntilDeadlineWhenCallRunsAtMostOnce(RequestKind kind) {
    assertThat(ResponsePatience.of(contract(kind, ATTEMPTS), Duration.ZERO, DEADLINE)).isEmpty();
  }

  @Test
  void shouldWaitUntilDeadlineWhenContractAllowsOneAttempt() {
    Contract contract = contract(RequestKind.INTERACTIVE_READ, 1);

    assertThat(ResponsePatience.of(contract, Duration.ZERO, DEADLINE)).isEmpty();
  }
}
