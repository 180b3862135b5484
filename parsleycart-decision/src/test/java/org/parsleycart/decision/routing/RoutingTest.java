package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.CallPace;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.WarmUpState;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Contract;
import org.parsleycart.model.RequestKind;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Service;

class RoutingTest {
  private static final Instant NOW = Instant.EPOCH;

  private static MemberRecord member(
      int index, String zone, MemberStatus status, boolean isDraining) {
    AnnouncedUpstream upstream = new AnnouncedUpstream("u" + index, "ledger", "v1", 10, isDraining);
    String address = "10.0.0." + index + ":7402";
    return new MemberRecord(address, 1, 0, status, zone, address, Map.of(), List.of(upstream));
  }

  private static CandidatePool pool(int localCount, int otherCount) {
    Stream<MemberRecord> members =
        IntStream.range(0, localCount + otherCount)
            .mapToObj(
                index ->
                    member(
                        index, index < localCount ? "abdali" : "marka", MemberStatus.ALIVE, false));
    return UpstreamDirectory.of(members, "abdali", zone -> false).pool("ledger", "v1");
  }

  private static void reportLoad(
      UpstreamLoadTable loads, Candidate candidate, int outstandingCalls) {
    loads.of(candidate).recordReport(new LoadReport(outstandingCalls, 10, WarmUpState.WARM), NOW);
  }

  @Nested
  class Directory {
    @ParameterizedTest
    @CsvSource({
      "ALIVE, false, abdali, 1",
      "SUSPECTED, false, abdali, 0",
      "DEAD, false, abdali, 0",
      "LEFT, false, abdali, 0",
      "ALIVE, true, abdali, 0",
      "ALIVE, false, withdrawn, 0"
    })
    void shouldContainOnlyUpstreamsThatMayReceiveCalls(
        MemberStatus status, boolean isDraining, String zone, int expected) {
      UpstreamDirectory directory =
          UpstreamDirectory.of(
              Stream.of(member(1, zone, status, isDraining)), "abdali", "withdrawn"::equals);

      assertThat(directory.pool("ledger", "v1").size()).isEqualTo(expected);
    }
  }

  @Nested
  class Selection {
    private final UpstreamLoadTable loads = new UpstreamLoadTable();
    private final UpstreamSelection selection = new UpstreamSelection(loads);
    private final Random random = new Random(7);

    private long selectionsInZone(CandidatePool pool, String zone, int draws) {
      return IntStream.range(0, draws)
          .mapToObj(draw -> selection.choose(pool, Set.of(), NOW, random).orElseThrow())
          .filter(candidate -> candidate.zone().equals(zone))
          .count();
    }

    @Test
    void shouldStayInTheLocalZoneWhenItHasCapacity() {
      assertThat(selectionsInZone(pool(3, 3), "abdali", 200)).isEqualTo(200);
    }

    @Test
    void shouldSpillOverWhenTheLocalZoneIsNearlyFull() {
      CandidatePool pool = pool(2, 2);
      pool.localZone().forEach(candidate -> reportLoad(loads, candidate, 10));

      assertThat(selectionsInZone(pool, "marka", 200)).isEqualTo(200);
    }

    @Test
    void shouldNotSelectAnUpstreamWhenItWasTried() {
      CandidatePool pool = pool(2, 0);

      assertThat(selection.choose(pool, Set.of("u0"), NOW, random))
          .map(Candidate::identifier)
          .contains("u1");
      assertThat(selection.choose(pool, Set.of("u0", "u1"), NOW, random)).isEmpty();
    }

    @Test
    void shouldEjectAnUpstreamForAWhileWhenItFailsTwice() {
      CandidatePool pool = pool(2, 0);
      Candidate failing = pool.localZone().get(0);
      loads.of(failing).recordFailure(NOW);
      loads.of(failing).recordFailure(NOW);

      assertThat(loads.of(failing).isEjected(NOW)).isTrue();
      assertThat(loads.of(failing).isEjected(NOW.plusSeconds(1))).isFalse();
      assertThat(
              IntStream.range(0, 100)
                  .mapToObj(draw -> selection.choose(pool, Set.of(), NOW, random).orElseThrow()))
          .doesNotContain(failing);
    }

    @Test
    void shouldSpillOverWhenTheLocalUpstreamHasNotReportedItsLoad() {
      CandidatePool pool = pool(1, 1);
      reportLoad(loads, pool.otherZones().get(0), 2);
      loads.of(pool.localZone().get(0)).recordStart();
      loads.of(pool.localZone().get(0)).recordStart();

      assertThat(selectionsInZone(pool, "marka", 100)).isEqualTo(100);
    }

    @Test
    void shouldEjectAnUpstreamWhenItsAnswersReportFailures() {
      CandidatePool pool = pool(4, 0);
      Candidate failing = pool.localZone().get(0);
      for (int answer = 0; answer < 5; answer++) {
        loads.of(failing).recordAnswer(true, NOW);
      }

      assertThat(loads.of(failing).isEjected(NOW)).isTrue();
    }

    @Test
    void shouldUseEjectedUpstreamsWhenMostOfThePoolIsEjected() {
      CandidatePool pool = pool(4, 0);
      for (Candidate candidate : pool.localZone().subList(0, 3)) {
        for (int answer = 0; answer < 5; answer++) {
          loads.of(candidate).recordAnswer(true, NOW);
        }
      }

      long selections =
          IntStream.range(0, 400)
              .mapToObj(draw -> selection.choose(pool, Set.of(), NOW, random).orElseThrow())
              .filter(candidate -> candidate.identifier().equals("u3"))
              .count();

      assertThat(selections).isLessThan(200);
    }

    @Test
    void shouldSelectAnUpstreamWhenAllAreEjected() {
      CandidatePool pool = pool(1, 0);
      loads.of(pool.localZone().get(0)).recordFailure(NOW);
      loads.of(pool.localZone().get(0)).recordFailure(NOW);

      assertThat(selection.choose(pool, Set.of(), NOW, random)).isPresent();
    }

    @Test
    void shouldPreferTheUpstreamWhenItIsLessLoaded() {
      CandidatePool pool = pool(2, 0);
      reportLoad(loads, pool.localZone().get(0), 6);

      long selections =
          IntStream.range(0, 400)
              .mapToObj(draw -> selection.choose(pool, Set.of(), NOW, random).orElseThrow())
              .filter(candidate -> candidate.identifier().equals("u0"))
              .count();

      assertThat(selections).isLessThan(160);
    }

    /** Guards against queues at slow upstreams while fast ones are idle. */
    @Test
    void shouldPreferTheFasterUpstreamWhenNoPaceIsStated() {
      CandidatePool pool = pool(2, 0);
      UpstreamSelection selectionByTime = new UpstreamSelection(loads, Balancing.EXPECTED_END);
      IntStream.range(0, 100)
          .mapToObj(report -> pool.localZone().get(report % 2))
          .forEach(
              candidate ->
                  loads
                      .of(candidate)
                      .recordReport(
                          new LoadReport(4, 10, WarmUpState.WARM)
                              .withPace(
                                  Optional.of(
                                      CallPace.unstated(
                                          Duration.ofMillis(
                                              candidate.identifier().equals("u0") ? 100 : 50)))),
                          NOW));

      long selections =
          IntStream.range(0, 400)
              .mapToObj(draw -> selectionByTime.choose(pool, Set.of(), NOW, random).orElseThrow())
              .filter(candidate -> candidate.identifier().equals("u0"))
              .count();

      assertThat(selections).isLessThan(160);
    }
  }

  @Nested
  class Versions {
    private Configuration configuration(int sharePerMille, RolloutPhase phase) {
      Rollout rollout =
          new Rollout(
              "move",
              Selector.of(Map.of("name", "ledger")),
              "v2",
              Duration.ofMinutes(1),
              5,
              sharePerMille,
              phase,
              "");
      Service service = new Service("ledger", "v1", Duration.ofSeconds(1), Map.of());
      return Configuration.empty()
          .apply(new ConfigurationChange("c", "t", List.of(service, rollout), List.of()))
          .get();
    }

    private long newVersionSelections(Configuration configuration, UrgentFacts facts) {
      Random random = new Random(11);
      Service service = configuration.service("ledger").orElseThrow();
      return IntStream.range(0, 10_000)
          .mapToObj(draw -> VersionChoice.of(configuration, service, facts, random))
          .filter(choice -> choice.versions().matches("v2"))
          .count();
    }

    @Test
    void shouldSelectTheNewVersionInProportionToItsShareWhenARolloutProgresses() {
      assertThat(
              newVersionSelections(configuration(50, RolloutPhase.PROGRESSING), new UrgentFacts()))
          .isBetween(400L, 600L);
    }

    @Test
    void shouldNotSelectTheNewVersionWhenItIsRejected() {
      Configuration configuration = configuration(500, RolloutPhase.PROGRESSING);
      UrgentFacts facts = new UrgentFacts();
      facts.reject(configuration.rollout("move").orElseThrow(), "bad");

      assertThat(newVersionSelections(configuration, facts)).isZero();
    }

    @Test
    void shouldNotFallBackToTheNewVersionWhenItLacksTheFullShare() {
      Configuration configuration = configuration(0, RolloutPhase.PROGRESSING);
      Service service = configuration.service("ledger").orElseThrow();

      assertThat(
              VersionChoice.of(configuration, service, new UrgentFacts(), new Random(1)).fallback())
          .isEmpty();
    }
  }

  @Nested
  class Retries {
    private Contract contract(RequestKind kind) {
      return new Contract("c", kind, Duration.ofSeconds(1), Duration.ofSeconds(1), 3);
    }

    @ParameterizedTest
    @CsvSource({
      "NOT_RUN, NON_IDEMPOTENT_WRITE, true",
      "UNKNOWN, NON_IDEMPOTENT_WRITE, false",
      "ANSWERED, NON_IDEMPOTENT_WRITE, false",
      "NOT_RUN, INTERACTIVE_READ, true",
      "UNKNOWN, INTERACTIVE_READ, true",
      "ANSWERED, INTERACTIVE_READ, false",
      "UNKNOWN, INTERNAL_CHECK, true",
      "UNKNOWN, DEFERRABLE, true"
    })
    void shouldRetryOnlyWhenTheRequestMayRunAgain(
        AttemptOutcome outcome, RequestKind kind, boolean expected) {
      RetryPolicy policy = new RetryPolicy(new RetryBudget());

      assertThat(policy.acquireRetry("ledger", contract(kind), 1, outcome, Duration.ofMillis(500)))
          .isEqualTo(expected);
    }

    @Test
    void shouldNotRetryWhenAttemptsOrTimeAreExhausted() {
      RetryPolicy policy = new RetryPolicy(new RetryBudget());
      Contract contract = contract(RequestKind.INTERACTIVE_READ);

      assertThat(
              policy.acquireRetry(
                  "ledger", contract, 3, AttemptOutcome.NOT_RUN, Duration.ofMillis(500)))
          .isFalse();
      assertThat(
              policy.acquireRetry(
                  "ledger", contract, 1, AttemptOutcome.NOT_RUN, Duration.ofMillis(2)))
          .isFalse();
    }

    @ParameterizedTest
    @CsvSource({
      "ZONE_WITHDRAWN, true",
      "DRAINING, true",
      "UPSTREAM_GONE, true",
      "QUEUE_FULL, false",
      "DEADLINE, false"
    })
    void shouldNotChargeTheBudgetWhenTheUpstreamAcceptsNoCalls(
        RefusalReason reason, boolean isUncharged) {
      RetryPolicy policy = new RetryPolicy(new RetryBudget());

      long retries =
          IntStream.range(0, 1000)
              .filter(call -> policy.acquireRedirect("ledger", 1, reason, Duration.ofMillis(500)))
              .count();

      assertThat(retries == 1000).isEqualTo(isUncharged);
    }

    @Test
    void shouldLimitRetriesToATenthOfCallsWhenEverythingFails() {
      RetryPolicy policy = new RetryPolicy(new RetryBudget());
      Contract contract = contract(RequestKind.INTERACTIVE_READ);

      long retries =
          IntStream.range(0, 10_000)
              .filter(
                  call -> {
                    policy.recordCall("ledger");
                    return policy.acquireRetry(
                        "ledger", contract, 1, AttemptOutcome.NOT_RUN, Duration.ofMillis(500));
                  })
              .count();

      assertThat(retries).isLessThanOrEqualTo(1_020);
    }
  }
}
