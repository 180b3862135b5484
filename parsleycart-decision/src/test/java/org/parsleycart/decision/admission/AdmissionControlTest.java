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
  private static final Duration USUAL_LATENCY = Duration.ofMillis(10);
  private static final String ROUTE = "due";

  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final AdmissionControl<String> admission =
      new AdmissionControl<>(new AdmissionSettings(COLD_LIMIT, QUEUE_LENGTH), SLOTS, clock);

  private AdmissionRequest<String> request(
      String name, RequestKind kind, long deadlineMilliseconds) {
    return new AdmissionRequest<>(
        name, kind, ROUTE, clock.instant().plusMillis(deadlineMilliseconds));
  }

  private AdmissionDecision<String> offer(String name) {
    return admission.offer(request(name, RequestKind.INTERACTIVE_READ, 1000));
  }

  /** Keeps all available slots busy and answers every call after the given latency. */
  private void warmUp(Duration latency, int answers) {
    for (int answer = 0; answer < answers; answer++) {
      boolean isFull = false;
      while (!isFull) {
        isFull = offer("load").admitted().isEmpty();
      }
      admission.recordAnswer(ROUTE, latency);
    }
  }

  private static List<RefusalReason> reasons(AdmissionDecision<String> decision) {
    return decision.refusals().stream().map(AdmissionDecision.Refusal::reason).toList();
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
    void shouldGrowToItsSlotsButNotBeyondWhenAnswersStayFast() {
      warmUp(USUAL_LATENCY, 500);

      assertThat(admission.load().limit()).isEqualTo(SLOTS);
      assertThat(admission.load().warmUpState()).isEqualTo(WarmUpState.WARM);
      assertThat(admission.running()).isLessThanOrEqualTo(SLOTS);
    }

    @Test
    void shouldShrinkWhenAnswersSlowDownUnderLoad() {
      warmUp(USUAL_LATENCY, 30);
      int limitBefore = admission.load().limit();

      warmUp(USUAL_LATENCY.multipliedBy(4), 60);

      assertThat(admission.load().limit()).isLessThan(limitBefore);
    }
  }

  @Nested
  class Overload {
    /**
     * Answers like an upstream whose latency grows with the square of the load above the given
     * number of calls. Returns the concurrency limit after the given number of answers.
     */
    private int limitAfter(int sustainableCalls, int answers) {
      for (int answer = 0; answer < answers; answer++) {
        boolean isFull = false;
        while (!isFull) {
          isFull = offer("load").admitted().isEmpty();
        }
        double relativeLoad = Math.max(1, (double) admission.running() / sustainableCalls);
        admission.recordAnswer(
            ROUTE,
            Duration.ofNanos((long) (USUAL_LATENCY.toNanos() * relativeLoad * relativeLoad)));
      }
      return admission.load().limit();
    }

    @Test
    void shouldNotGrowFarBeyondTheSustainableCallsWhenLoadIncreasesLatency() {
      assertThat(limitAfter(4, 5_000)).isLessThanOrEqualTo(6);
    }

    @Test
    void shouldAdaptWhenAnswersBecomePermanentlySlower() {
      warmUp(USUAL_LATENCY, 500);
      warmUp(USUAL_LATENCY.multipliedBy(3), 20_000);

      assertThat(admission.load().limit()).isGreaterThanOrEqualTo(SLOTS / 2);
    }
  }

  @Nested
  class ReturnToCold {
    @Test
    void shouldReturnToTheColdLimitWhenACallFails() {
      warmUp(USUAL_LATENCY, 500);

      admission.recordFailure();

      assertThat(admission.load().limit()).isEqualTo(COLD_LIMIT);
      assertThat(admission.returnsToCold()).isEqualTo(1);
    }

    @Test
    void shouldReturnToTheColdLimitWhenThreeAnswersInARowAreMuchSlower() {
      warmUp(USUAL_LATENCY, 500);

      for (int answer = 0; answer < 3; answer++) {
        admission.recordAnswer(ROUTE, USUAL_LATENCY.multipliedBy(8));
      }

      assertThat(admission.load().warmUpState()).isEqualTo(WarmUpState.COLD);
      assertThat(admission.load().limit()).isEqualTo(COLD_LIMIT);
    }

    @Test
    void shouldStartColdWhenReopened() {
      warmUp(USUAL_LATENCY, 500);

      admission.close(RefusalReason.ZONE_WITHDRAWN);
      admission.reopen();

      assertThat(admission.load().limit()).isEqualTo(COLD_LIMIT);
    }

    @Test
    void shouldHalveTheLimitWhenTheUpstreamShedsLoad() {
      warmUp(USUAL_LATENCY, 500);

      admission.recordOverload();

      assertThat(admission.load().limit()).isEqualTo(SLOTS / 2);
    }
  }

  @Nested
  class Queue {
    private void occupyColdLimit() {
      offer("running-1");
      offer("running-2");
    }

    @Test
    void shouldOrderRequestsByPriorityThenByDeadlineWhenQueued() {
      occupyColdLimit();
      admission.offer(request("late", RequestKind.INTERACTIVE_READ, 900));
      admission.offer(request("later", RequestKind.DEFERRABLE, 100));
      admission.offer(request("soon", RequestKind.INTERACTIVE_READ, 300));
      admission.offer(request("check", RequestKind.INTERNAL_CHECK, 1000));

      assertThat(admission.queuedRequests())
          .extracting(AdmissionRequest::call)
          .containsExactly("check", "soon", "late", "later");
    }

    @Test
    void shouldRefuseTheLeastUrgentRequestWhenTheQueueIsFull() {
      occupyColdLimit();
      for (int index = 0; index < QUEUE_LENGTH; index++) {
        admission.offer(request("deferred-" + index, RequestKind.DEFERRABLE, 1000));
      }

      AdmissionDecision<String> result =
          admission.offer(request("check", RequestKind.INTERNAL_CHECK, 900));

      assertThat(reasons(result)).containsExactly(RefusalReason.QUEUE_FULL);
      assertThat(admission.queuedRequests().get(0).call()).isEqualTo("check");
    }

    @Test
    void shouldRefuseImmediatelyWhenTheDeadlineCannotBeMet() {
      warmUp(USUAL_LATENCY, 1);

      AdmissionDecision<String> result =
          admission.offer(request("too-late", RequestKind.INTERACTIVE_READ, 5));

      assertThat(reasons(result)).containsExactly(RefusalReason.DEADLINE);
    }

    @Test
    void shouldRefuseImmediatelyWhenQueuedCallsTakeUntilTheDeadline() {
      warmUp(USUAL_LATENCY, 1);
      occupyColdLimit();
      admission.offer(request("first", RequestKind.INTERNAL_CHECK, 1000));
      admission.offer(request("second", RequestKind.INTERNAL_CHECK, 1000));

      AdmissionDecision<String> result =
          admission.offer(request("late", RequestKind.INTERACTIVE_READ, 15));

      assertThat(reasons(result)).containsExactly(RefusalReason.DEADLINE);
    }

    @Test
    void shouldRefuseQueuedRequestsWhenTheirDeadlinePasses() {
      occupyColdLimit();
      offer("queued");
      clock.add(Duration.ofSeconds(2));

      assertThat(reasons(admission.refuseExpired())).containsExactly(RefusalReason.DEADLINE);
    }

    @Test
    void shouldRefuseQueuedAndNewRequestsWhenClosed() {
      occupyColdLimit();
      offer("queued");

      assertThat(reasons(admission.close(RefusalReason.ZONE_WITHDRAWN)))
          .containsExactly(RefusalReason.ZONE_WITHDRAWN);
      assertThat(reasons(offer("new"))).containsExactly(RefusalReason.ZONE_WITHDRAWN);
      assertThat(admission.running()).isEqualTo(2);
    }
  }
}
