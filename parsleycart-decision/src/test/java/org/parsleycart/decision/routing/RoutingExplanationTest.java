package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.WarmUpState;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
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

/**
 * Guards against an explanation that differs from where calls go, or that changes where they go.
 */
class RoutingExplanationTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(1_000);
  private static final Route ROUTE =
      new Route("read", "/read", "ledger", "contract", Selector.all());

  private static final Instant DEADLINE = NOW.plusSeconds(2);

  private final UpstreamLoadTable loads = new UpstreamLoadTable();
  private Balancing balancing = Balancing.TWO_CHOICES;

  private static MemberRecord member(
      String name, MemberStatus status, String zone, String version, boolean isDraining) {
    return new MemberRecord(
        name + ":7401",
        1,
        1,
        status,
        zone,
        name + ":7402",
        Map.of(),
        List.of(new AnnouncedUpstream("u-" + name, "ledger", version, 8, isDraining)));
  }

  private static MemberRecord member(String name, String version) {
    return member(name, MemberStatus.ALIVE, "abdali", version, false);
  }

  private static Candidate candidate(MemberRecord member) {
    return new Candidate(
        member.upstreams().get(0), member.identifier(), member.zone(), member.callAddress());
  }

  private static Configuration configuration(Optional<Rollout> rollout) {
    Stream<Resource> resources =
        Stream.of(
            new Contract(
                "contract",
                RequestKind.INTERACTIVE_READ,
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                1),
            new Service(
                "ledger",
                Optional.of("v1"),
                Duration.ofSeconds(1),
                UpstreamBounds.none(),
                Map.of()),
            ROUTE);
    return Configuration.of(7, Stream.concat(resources, rollout.stream()).toList()).get();
  }

  private RoutingState state(Optional<Rollout> rollout, MemberRecord... members) {
    return new RoutingState(
        configuration(rollout),
        new UrgentFacts(),
        List.of(members),
        UpstreamDirectory.of(Stream.of(members), "abdali", "swefieh"::equals),
        loads,
        balancing);
  }

  private ServiceExplanation explain(Set<String> tried, RoutingState state) {
    return new RoutingExplanation(state, tried, NOW, DEADLINE).explain(ROUTE).get(0);
  }

  private static Map<String, Optional<Exclusion>> exclusions(ServiceExplanation explanation) {
    return explanation.upstreams().stream()
        .collect(
            Collectors.toMap(
                upstream -> upstream.candidate().identifier(),
                ServiceExplanation.Upstream::exclusion));
  }

  private void report(MemberRecord member, int outstandingCalls) {
    loads
        .of(candidate(member))
        .recordReport(new LoadReport(outstandingCalls, 8, WarmUpState.WARM), NOW.minusMillis(40));
  }

  @Test
  void shouldNameTheOnlyCandidateWithItsLoadAndAge() {
    MemberRecord only = member("one", "v1");
    report(only, 3);

    ServiceExplanation explanation = explain(Set.of(), state(Optional.empty(), only));

    ServiceExplanation.Upstream upstream = explanation.upstreams().get(0);
    assertThat(upstream.candidate()).isEqualTo(candidate(only));
    assertThat(upstream.chosenPerMille()).isEqualTo(1_000);
    assertThat(upstream.outstandingCalls()).isEqualTo(3);
    assertThat(upstream.utilization()).isEqualTo(0.5);
    assertThat(upstream.reportAge()).contains(Duration.ofMillis(40));
    assertThat(explanation.withoutUpstreamPerMille()).isZero();
  }

  /** Compares the shares with those of the code that routes calls. */
  @ParameterizedTest
  @EnumSource
  void shouldAgreeWithTheSelectionWhenLoadsDiffer(Balancing anyBalancing) {
    balancing = anyBalancing;
    MemberRecord idle = member("idle", "v1");
    MemberRecord half = member("half", "v1");
    MemberRecord full = member("full", "v1");
    MemberRecord far = member("far", MemberStatus.ALIVE, "marka", "v1", false);
    report(idle, 0);
    report(half, 4);
    report(full, 8);
    RoutingState state = state(Optional.empty(), idle, half, full, far);

    ServiceExplanation explanation = explain(Set.of(), state);

    Random random = new Random(5);
    UpstreamSelection selection = new UpstreamSelection(loads, balancing);
    Map<String, Long> chosen =
        IntStream.range(0, 10_000)
            .mapToObj(
                call ->
                    selection
                        .choose(
                            state.directory().pool("ledger", "v1"), Set.of(), NOW, DEADLINE, random)
                        .orElseThrow()
                        .identifier())
            .collect(Collectors.groupingBy(name -> name, Collectors.counting()));
    explanation
        .upstreams()
        .forEach(
            upstream ->
                assertThat((double) upstream.chosenPerMille())
                    .isBetween(
                        chosen.getOrDefault(upstream.candidate().identifier(), 0L) / 10.0 - 50,
                        chosen.getOrDefault(upstream.candidate().identifier(), 0L) / 10.0 + 50));
    assertThat(exclusions(explanation).values()).allMatch(Optional::isEmpty);
  }

  @Test
  void shouldGiveTheReasonOfEachExclusion() {
    MemberRecord chosen = member("chosen", "v1");
    MemberRecord leaving = member("leaving", "v1");
    MemberRecord ejected = member("ejected", "v1");
    loads.of(candidate(leaving)).recordLeaving(NOW);
    loads.of(candidate(ejected)).recordRefusal(RefusalReason.DRAINING, NOW);

    ServiceExplanation explanation =
        explain(
            Set.of("u-tried"),
            state(
                Optional.empty(),
                chosen,
                leaving,
                ejected,
                member("tried", "v1"),
                member("old", "v0"),
                member("suspected", MemberStatus.SUSPECTED, "abdali", "v1", false),
                member("dead", MemberStatus.DEAD, "abdali", "v1", false),
                member("left", MemberStatus.LEFT, "abdali", "v1", false),
                member("draining", MemberStatus.ALIVE, "abdali", "v1", true)));

    assertThat(exclusions(explanation))
        .containsExactlyInAnyOrderEntriesOf(
            Map.of(
                "u-chosen", Optional.empty(),
                "u-leaving", Optional.of(Exclusion.LEAVING),
                "u-ejected", Optional.of(Exclusion.EJECTED),
                "u-tried", Optional.of(Exclusion.TRIED),
                "u-old", Optional.of(Exclusion.OTHER_VERSION),
                "u-suspected", Optional.of(Exclusion.DAEMON_SUSPECTED),
                "u-dead", Optional.of(Exclusion.DAEMON_DEAD),
                "u-left", Optional.of(Exclusion.DAEMON_LEFT),
                "u-draining", Optional.of(Exclusion.DRAINING)));
    assertThat(explanation.upstreams().get(0).candidate()).isEqualTo(candidate(chosen));
  }

  @Test
  void shouldNameTheWithdrawnZone() {
    MemberRecord withdrawn = member("one", MemberStatus.ALIVE, "swefieh", "v1", false);
    RoutingState state = state(Optional.empty(), withdrawn);
    state.facts().recordZoneDecision(state.configuration(), "swefieh", true, "power");

    ServiceExplanation explanation = explain(Set.of(), state);

    assertThat(exclusions(explanation))
        .containsEntry("u-one", Optional.of(Exclusion.ZONE_WITHDRAWN));
    assertThat(explanation.withoutUpstreamPerMille()).isEqualTo(1_000);
  }

  @Test
  void shouldShowTheShareOfANewVersion() {
    Rollout rollout =
        new Rollout(
            "ledger",
            Selector.of(Map.of("name", "ledger")),
            "v2",
            Duration.ofSeconds(12),
            5,
            50,
            RolloutPhase.PROGRESSING,
            "");

    ServiceExplanation explanation =
        explain(Set.of(), state(Optional.of(rollout), member("one", "v1"), member("two", "v2")));

    assertThat(explanation.rollout()).contains(rollout);
    assertThat(explanation.upstreams().get(1).candidate().identifier()).isEqualTo("u-two");
    assertThat(explanation.upstreams().get(1).chosenPerMille()).isBetween(25, 75);
    assertThat(explanation.versions()).hasSize(2);
  }

  @Test
  void shouldChangeNothingWhenAskedOften() {
    MemberRecord reported = member("one", "v1");
    MemberRecord unknown = member("two", "v1");
    report(reported, 3);
    RoutingState state = state(Optional.empty(), reported, unknown);

    ServiceExplanation first = explain(Set.of(), state);
    ServiceExplanation second = explain(Set.of(), state);

    assertThat(second).isEqualTo(first);
    assertThat(loads.size()).isEqualTo(1);
    assertThat(loads.of(candidate(reported)).outstandingCalls()).isEqualTo(3);
    assertThat(loads.of(candidate(reported)).inFlight()).isZero();
  }
}
