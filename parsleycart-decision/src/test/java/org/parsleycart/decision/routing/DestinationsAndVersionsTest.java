package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.RequestKind;
import org.parsleycart.model.Resource;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Route;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Service;
import org.parsleycart.model.UpstreamBounds;
import org.parsleycart.model.WeightedService;

/**
 * Tests weighted destinations of routes, version choices for services without a configured version,
 * and retry budgets.
 */
class DestinationsAndVersionsTest {
  @Nested
  class Destinations {
    private long selectionCount(String service, WeightedService... destinations) {
      Route route =
          new Route(
              "r", Optional.empty(), "/r/", List.of(destinations), "contract", Selector.all());
      Random random = new Random(3);
      return IntStream.range(0, 10_000)
          .filter(draw -> DestinationSelection.choose(route, random).equals(service))
          .count();
    }

    @Test
    void shouldSelectInProportionToTheWeights() {
      WeightedService first = new WeightedService("one", 90);
      WeightedService second = new WeightedService("two", 10);

      assertThat(selectionCount("two", first, second)).isBetween(850L, 1150L);
      assertThat(selectionCount("one", first, second)).isBetween(8850L, 9150L);
    }

    @Test
    void shouldNeverSelectAServiceWhenItsWeightIsZero() {
      assertThat(
              selectionCount("two", new WeightedService("one", 1), new WeightedService("two", 0)))
          .isZero();
    }
  }

  @Nested
  class Versions {
    private Configuration configuration(Optional<RolloutPhase> phase, int sharePerMille) {
      List<Resource> resources = new ArrayList<>();
      resources.add(
          new Service(
              "ledger", Optional.empty(), Duration.ofSeconds(1), UpstreamBounds.none(), Map.of()));
      phase.ifPresent(
          rolloutPhase ->
              resources.add(
                  new Rollout(
                      "ledger",
                      Selector.of(Map.of("name", "ledger")),
                      "v2",
                      Duration.ofSeconds(12),
                      5,
                      sharePerMille,
                      rolloutPhase,
                      "")));
      return Configuration.of(7, resources).get();
    }

    private VersionChoice chooseVersions(Configuration configuration) {
      return VersionChoice.of(
          configuration,
          configuration.service("ledger").orElseThrow(),
          new UrgentFacts(),
          new Random(1));
    }

    @Test
    void shouldAllowAnyVersionWhenThereIsNoRollout() {
      VersionChoice choice = chooseVersions(configuration(Optional.empty(), 0));

      assertThat(choice.versions().matches("v1")).isTrue();
      assertThat(choice.versions().matches("v2")).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"PENDING", "PROGRESSING", "ROLLED_BACK", "ABORTED"})
    void shouldExcludeTheNewVersionWhenItHasNoShare(RolloutPhase phase) {
      VersionChoice choice = chooseVersions(configuration(Optional.of(phase), 0));

      assertThat(choice.versions().matches("v1")).isTrue();
      assertThat(choice.versions().matches("v2")).isFalse();
      assertThat(choice.fallback()).isEmpty();
    }

    @Test
    void shouldPreferTheNewVersionWhenItsRolloutIsCompleted() {
      VersionChoice choice =
          chooseVersions(configuration(Optional.of(RolloutPhase.COMPLETED), 1000));

      assertThat(choice.versions().matches("v2")).isTrue();
      assertThat(choice.versions().matches("v1")).isFalse();
      assertThat(choice.fallback().orElseThrow().matches("v1")).isTrue();
    }
  }

  @Nested
  class Budgets {
    private final Contract contract =
        new Contract(
            "c", RequestKind.INTERACTIVE_READ, Duration.ofSeconds(1), Duration.ofSeconds(1), 2);
    private final RetryPolicy policy =
        new RetryPolicy(
            RetryBudgets.of(() -> new RetryBudget(0.1, 2)), RetryBudgets.forRedirects());

    private long grantedRetries(String service, int calls) {
      return IntStream.range(0, calls)
          .filter(
              call -> {
                policy.recordCall(service);
                return policy.acquireRetry(
                    service, contract, 1, AttemptOutcome.UNKNOWN, Duration.ofMillis(500));
              })
          .count();
    }

    @Test
    void shouldLimitRetriesOfAServiceByItsOwnCallsWhenAnotherIsBusy() {
      IntStream.range(0, 10_000).forEach(call -> policy.recordCall("busy"));

      assertThat(grantedRetries("quiet", 100)).isBetween(10L, 12L);
    }

    @Test
    void shouldNotRetryAFailedAnswerWhenTheBudgetIsSpent() {
      grantedRetries("ledger", 100);

      assertThat(policy.mayRetryFailedAnswer("ledger", contract, 1, Duration.ofMillis(500)))
          .isFalse();
    }

    @Test
    void shouldNotRetryWhenTheMaximumAttemptsAreReached() {
      assertThat(
              policy.acquireRetry(
                  "ledger", contract, 2, AttemptOutcome.UNKNOWN, Duration.ofMillis(500)))
          .isFalse();
      assertThat(policy.mayRetryFailedAnswer("ledger", contract, 2, Duration.ofMillis(500)))
          .isFalse();
    }
  }
}
