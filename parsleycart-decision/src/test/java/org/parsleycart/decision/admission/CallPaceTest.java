package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallPaceTest {
  private final PaceTracker tracker = new PaceTracker();

  private void answers(int count, int pace, int milliseconds) {
    IntStream.range(0, count)
        .forEach(
            answer -> {
              tracker.recordStatement(OptionalInt.of(pace));
              tracker.recordAnswer(Duration.ofMillis(milliseconds));
            });
  }

  @Test
  void shouldReadItsOwnTextForm() {
    CallPace pace = new CallPace(Duration.ofMillis(276), 104);

    assertThat(pace).hasToString("276 104");
    assertThat(CallPace.parse("276 104")).contains(pace);
    CallPace unstated = CallPace.unstated(Duration.ofMillis(276));
    assertThat(CallPace.parse(unstated.toString())).contains(unstated);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "276", "-1 100", "276 104 3", "99999999 100", "276  104", "1e3 5"})
  void shouldIgnoreMalformedText(String text) {
    assertThat(CallPace.parse(text)).isEmpty();
  }

  /** Guards against a load that daemons of the earlier build cannot parse. */
  @Test
  void shouldNotChangeTheTextFormOfTheLoadWhenItHasAPace() {
    LoadReport report = new LoadReport(3, 20, WarmUpState.WARM);

    assertThat(report.withPace(CallPace.parse("276 104"))).hasToString("3/20 warm");
    assertThat(LoadReport.parse("3/20 warm")).contains(report);
  }

  /** Guards against a server that looks fast by stating a low pace all the time. */
  @Test
  void shouldMeasureTheTimeOfCallsWhateverConstantPaceIsStated() {
    answers(50, 1, 300);

    assertThat(tracker.current()).contains(new CallPace(Duration.ofMillis(300), 100));
  }

  @Test
  void shouldMeasureTheTimeOfCallsWhenNoPaceIsStated() {
    tracker.recordAnswer(Duration.ofMillis(300));

    assertThat(tracker.current()).contains(CallPace.unstated(Duration.ofMillis(300)));
  }

  @Test
  void shouldFollowAChangeOfPaceBeforeAnswersShowIt() {
    answers(50, 100, 300);
    IntStream.range(0, 10).forEach(each -> tracker.recordStatement(OptionalInt.of(150)));

    assertThat(tracker.current().orElseThrow().expectedTime())
        .isBetween(Duration.ofMillis(430), Duration.ofMillis(450));
  }

  /** Guards against a jump of a false figure that moves more calls than measured times do. */
  @Test
  void shouldBoundTheInfluenceOfAStatedPace() {
    answers(50, 10_000, 300);
    IntStream.range(0, 100).forEach(each -> tracker.recordStatement(OptionalInt.of(1)));

    assertThat(tracker.current().map(CallPace::percent)).contains(CallPace.MINIMUM_PERCENT);
  }

  @Test
  void shouldHaveNoPaceBeforeTheFirstAnswer() {
    tracker.recordStatement(OptionalInt.of(100));

    assertThat(tracker.current()).isEqualTo(Optional.empty());
  }
}
