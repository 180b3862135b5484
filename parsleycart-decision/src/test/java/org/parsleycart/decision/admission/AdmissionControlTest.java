package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleycart.model.RequestKind;
import org.threeten.extra.MutableClock;

class AdmissionControlTest {
  private static final int SLOTS = 20;
  private static final int COLD_LIMIT = 2;
  private static final int QUEUE_LENGTH = 4;
  private static final Duration USUAL = Duration.ofMillis(10);
  private static final String ROUTE = "due";

  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final AdmissionControl<String> admission =
      new AdmissionControl<>(new AdmissionSettings(COLD_LIMIT, QUEUE_LENGTH), SLOTS, clock);

  private AdmissionRequest<String> call(String name, RequestKind kind, long deadlineMilliseconds) {
    return new AdmissionRequest<>(
        name, kind, ROUTE, clock.instant().plusMillis(deadlineMilliseconds));
  }

  private AdmissionDecision<String> offer(String name) {
    return admission.offer(call(name, RequestKind.INTERACTIVE_READ, 1000));
  }

  /** Keeps the upstream as busy as it may be and answers every call after the given time. */
  private void warmUp(Duration latency, int answers) {
    for (int answer = 0; answer < answers; answer++) {
      boolean full = false;
      while (!full) {
        full = offer("load").admitted().isEmpty();
      }
      admission.recordAnswer(ROUTE, latency);
    }
  }

  private static List<RefusalReason> reasons(AdmissionDecision<String> admission) {
    return admission.refusals().stream().map(AdmissionDecision.Refusal::reason).toList();
  }

  @Nested
  class ColdStart {
    @Test
    void shouldRunNoMoreThanTheColdLimitWhenTheUpstreamHasJustStarted() {
      assertThat(offer("one").admitted()).hasSize(1);
      assertThat(offer("two").admitted()).hasSize(1);
      assertThat(offer("three").admitted()).isEmpty();
      assertThat(admission.running()).isEqualTo(COLD_LIMIT);
    }

    @Test
    void shouldGrowToItsSlotsAndNoFurtherWhenAnswersStayFast() {
      warmUp(USUAL, 500);

      assertThat(admission.load().limit()).isEqualTo(SLOTS);
      assertThat(admission.load().warmUpState()).isEqualTo(WarmUpState.WARM);
      assertThat(admission.running()).isLessThanOrEqualTo(SLOTS);
    }

    @Test
    void shouldStopGrowingWhenAnswersSlowDownUnderLoad() {
      warmUp(USUAL, 30);
      int before = admission.load().limit();

      warmUp(USUAL.multipliedBy(4), 60);

      assertThat(admission.load().limit()).isLessThan(before);
    }
  }

  @Nested
  class Overload {
    /** Answers as an upstream does that bears so many calls and slows down with their square. */
    private int settledLimit(int bears, int answers) {
      for (int answer = 0; answer < answers; answer++) {
        boolean full = false;
        while (!full) {
          full = offer("load").admitted().isEmpty();
        }
        double load = Math.max(1, (double) admission.running() / bears);
        admission.recordAnswer(ROUTE, Duration.ofNanos((long) (USUAL.toNanos() * load * load)));
      }
      return admission.load().limit();
    }

    @Test
    void shouldNotChaseTheLatencyThatItCausesItself() {
      assertThat(settledLimit(4, 5_000)).isLessThanOrEqualTo(6);
    }

    @Test
    void shouldAdaptWhenAnswersBecomeSlowerForGood() {
      warmUp(USUAL, 500);
      warmUp(USUAL.multipliedBy(3), 20_000);

      assertThat(admission.load().limit()).isGreaterThanOrEqualTo(SLOTS / 2);
    }
  }

  @Nested
  class ReturnToCold {
    @Test
    void shouldFallBackWhenAConnectionFails() {
      warmUp(USUAL, 500);

      admission.recordFailure();

      assertThat(admission.load().limit()).isEqualTo(COLD_LIMIT);
      assertThat(admission.returnsToCold()).isEqualTo(1);
    }

    @Test
    void shouldFallBackAfterThreeAnswersWhenTheUpstreamTurnsColdWithoutWarning() {
      warmUp(USUAL, 500);

      for (int answer = 0; answer < 3; answer++) {
        admission.recordAnswer(ROUTE, USUAL.multipliedBy(8));
      }

      assertThat(admission.load().warmUpState()).isEqualTo(WarmUpState.COLD);
      assertThat(admission.load().limit()).isEqualTo(COLD_LIMIT);
    }

    @Test
    void shouldStartColdWhenItIsOpenedAgain() {
      warmUp(USUAL, 500);

      admission.close(RefusalReason.ZONE_WITHDRAWN);
      admission.reopen();

      assertThat(admission.load().limit()).isEqualTo(COLD_LIMIT);
    }

    @Test
    void shouldHalveWhenTheUpstreamShedsLoad() {
      warmUp(USUAL, 500);

      admission.recordOverload();

      assertThat(admission.load().limit()).isEqualTo(SLOTS / 2);
    }
  }

  @Nested
  class Queue {
    private void fill() {
      offer("running-1");
      offer("running-2");
    }

    @Test
    void shouldRunInternalChecksFirstThenTheEarliestDeadline() {
      fill();
      admission.offer(call("late", RequestKind.INTERACTIVE_READ, 900));
      admission.offer(call("later", RequestKind.DEFERRABLE, 100));
      admission.offer(call("soon", RequestKind.INTERACTIVE_READ, 300));
      admission.offer(call("check", RequestKind.INTERNAL_CHECK, 1000));

      assertThat(admission.queuedRequests())
          .extracting(AdmissionRequest::call)
          .containsExactly("check", "soon", "late", "later");
    }

    @Test
    void shouldRefuseTheLeastUrgentWhenItIsFull() {
      fill();
      for (int index = 0; index < QUEUE_LENGTH; index++) {
        admission.offer(call("deferred-" + index, RequestKind.DEFERRABLE, 1000));
      }

      AdmissionDecision<String> result =
          admission.offer(call("check", RequestKind.INTERNAL_CHECK, 900));

      assertThat(reasons(result)).containsExactly(RefusalReason.QUEUE_FULL);
      assertThat(admission.queuedRequests().get(0).call()).isEqualTo("check");
    }

    @Test
    void shouldRefuseAtOnceWhenTheDeadlineCannotBeMet() {
      warmUp(USUAL, 1);

      AdmissionDecision<String> result =
          admission.offer(call("hopeless", RequestKind.INTERACTIVE_READ, 5));

      assertThat(reasons(result)).containsExactly(RefusalReason.DEADLINE);
    }

    @Test
    void shouldRefuseAtOnceWhenTheCallsAheadTakeUntilTheDeadline() {
      warmUp(USUAL, 1);
      fill();
      admission.offer(call("first", RequestKind.INTERNAL_CHECK, 1000));
      admission.offer(call("second", RequestKind.INTERNAL_CHECK, 1000));

      AdmissionDecision<String> result =
          admission.offer(call("late", RequestKind.INTERACTIVE_READ, 15));

      assertThat(reasons(result)).containsExactly(RefusalReason.DEADLINE);
    }

    @Test
    void shouldRefuseWaitingCallsWhenTheirDeadlinePasses() {
      fill();
      offer("waiting");
      clock.add(Duration.ofSeconds(2));

      assertThat(reasons(admission.refuseExpired())).containsExactly(RefusalReason.DEADLINE);
    }

    @Test
    void shouldRefuseAllWaitingAndNewCallsWhenItIsClosed() {
      fill();
      offer("waiting");

      assertThat(reasons(admission.close(RefusalReason.ZONE_WITHDRAWN)))
          .containsExactly(RefusalReason.ZONE_WITHDRAWN);
      assertThat(reasons(offer("new"))).containsExactly(RefusalReason.ZONE_WITHDRAWN);
      assertThat(admission.running()).isEqualTo(2);
    }
  }
}
