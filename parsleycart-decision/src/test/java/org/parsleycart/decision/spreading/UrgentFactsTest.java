package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.ResourceReference;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Withdrawal;

class UrgentFactsTest {
  private static final ResourceReference ZONE =
      new ResourceReference(ResourceKind.AVAILABILITY_ZONE, "abdali");

  private static Configuration withZone() {
    return Configuration.empty()
        .apply(
            new ConfigurationChange(
                "zone",
                "tester",
                List.of(new AvailabilityZone("abdali", java.util.Map.of())),
                List.of()))
        .get();
  }

  @Provide
  Arbitrary<UrgentFact> facts() {
    return Combinators.combine(
            Arbitraries.longs().between(1, 3),
            Arbitraries.longs().between(1, 3),
            Arbitraries.of(true, false),
            Arbitraries.of("one", "other"))
        .as(
            (epoch, counter, restrictive, reason) ->
                new UrgentFact(ZONE, epoch, counter, restrictive, reason));
  }

  @Property(seed = "41")
  void shouldConvergeWhenFactsArriveInAnyOrder(
      @ForAll List<@From("facts") UrgentFact> arrivals, @ForAll long seed) {
    UrgentFacts one = new UrgentFacts();
    UrgentFacts other = new UrgentFacts();
    List<UrgentFact> shuffled = new java.util.ArrayList<>(arrivals);
    Collections.shuffle(shuffled, new Random(seed));

    arrivals.forEach(fact -> one.merge(List.of(fact)));
    other.merge(shuffled);
    other.merge(arrivals);

    assertThat(one.all()).isEqualTo(other.all());
  }

  @Test
  void shouldWithdrawWhenTwoOperatorsMakeOppositeDecisionsConcurrently() {
    Configuration configuration = withZone();
    UrgentFacts facts = new UrgentFacts();
    facts.merge(List.of(new UrgentFact(ZONE, 1, 1, false, "return")));
    facts.merge(List.of(new UrgentFact(ZONE, 1, 1, true, "withdraw")));

    assertThat(facts.isWithdrawn(configuration, "abdali")).isTrue();
  }

  @Test
  void shouldFollowTheConfigurationWhenItSupersedesTheFact() {
    Configuration before = withZone();
    UrgentFacts facts = new UrgentFacts();
    facts.recordZoneDecision(before, "abdali", false, "return");

    Configuration after =
        before
            .apply(
                new ConfigurationChange(
                    "w",
                    "tester",
                    List.of(new Withdrawal("w", Selector.of(java.util.Map.of("name", "abdali")))),
                    List.of()))
            .get();

    assertThat(facts.isWithdrawn(after, "abdali")).isTrue();
  }

  @Test
  void shouldReturnTheZoneWhenTheLaterDecisionReturnsIt() {
    Configuration configuration = withZone();
    UrgentFacts facts = new UrgentFacts();
    facts.recordZoneDecision(configuration, "abdali", true, "withdraw");
    facts.recordZoneDecision(configuration, "abdali", false, "return");

    assertThat(facts.isWithdrawn(configuration, "abdali")).isFalse();
  }
}
