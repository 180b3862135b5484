package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

class FairQueueTest {
  private static final int RANK = 2;
  private static final int LOW_RANK = 3;

  private final FairQueue<String> queue = new FairQueue<>();

  private static AdmissionRequest<String> request(
      String organisation, int index, int rank, long deadlineMilliseconds) {
    Instant deadline = Instant.ofEpochMilli(deadlineMilliseconds);
    return new AdmissionRequest<>(
        organisation + "-" + index,
        rank,
        "lookup",
        deadline,
        deadline,
        organisation.isEmpty() ? Optional.empty() : Optional.of(organisation));
  }

  private void add(String organisation, int count, int rank, long firstDeadlineMilliseconds) {
    IntStream.range(0, count)
        .mapToObj(index -> request(organisation, index, rank, firstDeadlineMilliseconds + index))
        .forEach(queue::add);
  }

  private void run(int count) {
    IntStream.range(0, count).forEach(unused -> queue.recordStart(queue.poll().orElseThrow()));
  }

  private List<String> inOrder() {
    return queue.inOrder().stream().map(AdmissionRequest::call).toList();
  }

  @Nested
  class Order {
    @Test
    void shouldAlternateOrganisationsWhenOneHasTheEarlierDeadlines() {
      add("loud", 3, RANK, 100);
      add("small", 2, RANK, 500);

      assertThat(inOrder()).containsExactly("loud-0", "small-0", "loud-1", "small-1", "loud-2");
    }

    @Test
    void shouldRunRequestsWithoutOrganisationByDeadlineBesideTheFirstOfEachOrganisation() {
      add("", 3, RANK, 100);
      add("small", 2, RANK, 101);

      assertThat(inOrder()).containsExactly("-0", "-1", "small-0", "-2", "small-1");
    }

    @Test
    void shouldRunHigherRanksFirstWhateverTheirOrganisation() {
      add("small", 1, LOW_RANK, 100);
      add("loud", 2, RANK, 500);

      assertThat(inOrder()).containsExactly("loud-0", "loud-1", "small-0");
    }

    @Test
    void shouldRememberATurnWhenTheQueueWasEmptyMeanwhile() {
      add("loud", 1, RANK, 100);
      run(1);
      add("loud", 1, RANK, 100);
      add("small", 1, RANK, 500);

      assertThat(inOrder()).containsExactly("small-0", "loud-0");
    }

    @Test
    void shouldGiveNoAdvantageWhenAnOrganisationSentNothingForLong() {
      add("loud", 20, RANK, 100);
      run(10);
      add("quiet", 3, RANK, 500);

      assertThat(inOrder().subList(0, 4))
          .containsExactly("quiet-0", "loud-10", "quiet-1", "loud-11");
    }

    @Test
    void shouldTakeNoTurnWhenTheFirstRequestIsRefused() {
      add("late", 2, RANK, 100);
      add("other", 1, RANK, 500);
      queue.poll();

      assertThat(inOrder()).containsExactly("late-1", "other-0");
    }

    @Test
    void shouldBeginANewRoundWhenMoreOrganisationsWereServedThanAreRemembered() {
      for (int organisation = 0; organisation < 2_000; organisation++) {
        add("organisation-" + organisation, 1, organisation % 3, 100);
        run(1);
      }
      add("organisation-0", 1, 0, 100);
      add("new", 1, 0, 500);

      assertThat(inOrder()).containsExactly("organisation-0-0", "new-0");
    }
  }

  @Nested
  class CountAhead {
    /** Guards against a refusal by an expected wait that differs from the order of the queue. */
    @Test
    void shouldEqualThePositionInTheQueueWhenOrganisationsAndRanksAreMixed() {
      for (long seed = 0; seed < 200; seed++) {
        Random random = new Random(seed);
        FairQueue<String> mixed = new FairQueue<>();
        for (int index = 0; index < 60; index++) {
          String organisation =
              List.of("", "loud", "loud", "loud", "b", "c").get(random.nextInt(6));
          long distinctDeadline = random.nextInt(1_000) * 100L + index;
          AdmissionRequest<String> next =
              request(organisation, index, random.nextInt(3), distinctDeadline);
          long ahead = mixed.countAhead(next);
          mixed.add(next);
          assertThat((long) mixed.inOrder().indexOf(next)).isEqualTo(ahead);
          if (random.nextInt(3) == 0) {
            mixed.recordStart(mixed.poll().orElseThrow());
          }
        }
      }
    }
  }

  @Nested
  class Overflow {
    @Test
    void shouldDropTheLastRequestOfTheOrganisationWithTheMost() {
      add("loud", 4, RANK, 100);
      add("small", 1, RANK, 900);

      assertThat(queue.removeLast().call()).isEqualTo("loud-3");
      assertThat(inOrder()).contains("small-0").doesNotContain("loud-3");
    }

    @Test
    void shouldCompareOnlyTheLowestRank() {
      add("loud", 4, RANK, 100);
      add("small", 1, LOW_RANK, 100);

      assertThat(queue.removeLast().call()).isEqualTo("small-0");
    }

    @Test
    void shouldDropTheRequestOfAnOrganisationThatHadItsTurnWhenAllHaveEquallyMany() {
      add("served", 2, RANK, 100);
      run(1);
      add("new", 1, RANK, 900);

      assertThat(queue.removeLast().call()).isEqualTo("served-1");
    }

    @Test
    void shouldDropTheLatestDeadlineWhenOnlyOneOrganisationWaits() {
      add("only", 3, RANK, 100);

      assertThat(queue.removeLast().call()).isEqualTo("only-2");
    }
  }

  /**
   * Load: two slots that stay busy and a loud organisation with 20 queued calls of 50 ms, which are
   * due after 600 ms.
   */
  @Nested
  class BesideABusyUpstream {
    private static final Duration USUAL_LATENCY = Duration.ofMillis(50);
    private static final Duration USUAL_LATENCY_OF_REPORTS = Duration.ofMillis(200);

    private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
    private final AdmissionControl<String> admission =
        new AdmissionControl<>(new AdmissionSettings(2, 20, true), 2, clock);

    private AdmissionRequest<String> newRequest(
        String organisation, int index, String route, long milliseconds) {
      Instant deadline = clock.instant().plusMillis(milliseconds);
      return new AdmissionRequest<>(
          organisation + "-" + index, RANK, route, deadline, deadline, Optional.of(organisation));
    }

    private AdmissionDecision<String> offer(
        String organisation, int index, String route, long milliseconds) {
      return admission.offer(newRequest(organisation, index, route, milliseconds));
    }

    @BeforeEach
    void queueLoudOrganisation() {
      offer("loud", 0, "lookup", 600);
      admission.recordAnswer("lookup", USUAL_LATENCY);
      offer("loud", 0, "report", 600);
      admission.recordAnswer("report", USUAL_LATENCY_OF_REPORTS);
      IntStream.rangeClosed(1, 22).forEach(index -> offer("loud", index, "lookup", 600 + index));
    }

    private List<String> refused(AdmissionDecision<String> decision) {
      return decision.refusals().stream()
          .map(refusal -> refusal.request().call() + " " + refusal.reason())
          .toList();
    }

    /** Guards against refusal of a small organisation for the expected wait of a loud one. */
    @Test
    void shouldQueueACallThatOnlyTheLoudOrganisationWouldDelay() {
      assertThat(refused(offer("loud", 23, "report", 1_000))).containsExactly("loud-23 deadline");

      AdmissionDecision<String> decision = offer("small", 0, "report", 1_000);

      assertThat(refused(decision)).containsExactly("loud-22 queue-full");
      assertThat(admission.queuedRequests().get(0).call()).isEqualTo("small-0");
    }

    @Test
    void shouldLeaveTheOthersInTurnWhenACallIsCancelledAndOneExpires() {
      IntStream.range(0, 3).forEach(index -> offer("small", index, "lookup", 400 + index));

      assertThat(admission.cancel("small-0")).isTrue();
      assertThat(admission.cancel("small-0")).isFalse();
      clock.add(Duration.ofMillis(352));

      assertThat(refused(admission.refuseExpired())).containsExactly("small-1 deadline");
      assertThat(
              IntStream.range(0, 3)
                  .mapToObj(unused -> admission.recordAnswer("lookup", USUAL_LATENCY))
                  .flatMap(decision -> decision.admitted().stream())
                  .map(AdmissionRequest::call))
          .containsExactly("small-2", "loud-3", "loud-4");
    }

    /** Guards against a preview that differs from the offer, or that changes the queue. */
    @Test
    void shouldExpectTheRefusalOfAnOfferWithoutOfferingIt() {
      List<AdmissionRequest<String>> queuedBefore = admission.queuedRequests();

      assertThat(admission.expectedRefusal(newRequest("loud", 23, "report", 1_000)))
          .contains(RefusalReason.DEADLINE);
      assertThat(admission.expectedRefusal(newRequest("loud", 23, "lookup", 900)))
          .contains(RefusalReason.QUEUE_FULL);
      assertThat(admission.expectedRefusal(newRequest("small", 0, "lookup", 900))).isEmpty();

      assertThat(admission.queuedRequests()).isEqualTo(queuedBefore);
      assertThat(refused(offer("loud", 23, "lookup", 900))).containsExactly("loud-23 queue-full");
      assertThat(refused(offer("small", 0, "lookup", 900))).containsExactly("loud-22 queue-full");
    }

    @Test
    void shouldRefuseTheQueuedCallsOfAllOrganisationsWhenClosed() {
      offer("small", 0, "lookup", 400);

      AdmissionDecision<String> decision = admission.close(RefusalReason.ZONE_WITHDRAWN);

      assertThat(refused(decision)).hasSize(20).contains("small-0 zone-withdrawn");
      assertThat(admission.queuedRequests()).isEmpty();
    }
  }
}
