package org.parsleycart.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.RequestEvidence.Event;
import org.parsleycart.decision.quarantine.RequestQuarantine;

class GossipProtocolTest {
  private SimulatedNetwork network;

  @BeforeEach
  void setUp() {
    network = new SimulatedNetwork(5, 42);
    network.introduceAll();
    network.advance(Duration.ofSeconds(10));
  }

  @Test
  void shouldFindAllMembersWhenEachKnowsOnlyOne() {
    assertThat(network.members()).allMatch(member -> member.table().size() == 5);
    assertThat(network.members()).allMatch(member -> member.alive().count() == 5);
  }

  @Test
  void shouldDisseminateTheConfirmationWhenOneMemberReceivesIt() {
    network.freshness(0).recordConfirmation(network.now());

    network.advance(Duration.ofSeconds(3));

    assertThat(IntStream.range(0, network.members().size()).mapToObj(network::freshness))
        .allMatch(
            freshness ->
                freshness
                    .confirmationAge(network.now())
                    .filter(age -> age.compareTo(Duration.ofSeconds(3)) <= 0)
                    .isPresent());
  }

  /** Guards against a request that ends further upstreams at daemons that do not know of it. */
  @Test
  void shouldDisseminateEvidenceOnRequestsWithinThreeSeconds() {
    SimulatedNetwork large = new SimulatedNetwork(60, 7);
    large.introduceAll();
    large.advance(Duration.ofSeconds(20));
    IntStream.range(0, RequestQuarantine.ENDED_PROCESSES)
        .forEach(
            index ->
                large.reportEvidence(
                    index, RequestEvidence.of(Event.ENDED, "i-" + index, List.of(5L))));

    large.advance(Duration.ofSeconds(3));

    assertThat(IntStream.range(0, 60).mapToObj(large::quarantine))
        .allMatch(quarantine -> quarantine.isQuarantined(5));
  }

  @Test
  void shouldDeclareAMemberDeadWithinTenSecondsWhenItStops() {
    network.stop(0);

    network.advance(Duration.ofSeconds(10));

    assertThat(network.statusesOf(0)).containsOnly(MemberStatus.DEAD);
  }

  @Test
  void shouldKeepAMemberAliveWhenOnlyOneLinkIsCut() {
    network.block((source, target) -> source == 1 && target == 0);

    network.advance(Duration.ofSeconds(20));

    assertThat(network.statusesOf(0)).containsOnly(MemberStatus.ALIVE);
  }

  @Test
  void shouldRefuteTheSuspicionWhenAPausedProcessResumes() {
    network.pause(0);
    network.advance(Duration.ofSeconds(3));

    network.resume(0);
    network.advance(Duration.ofSeconds(15));

    assertThat(network.statusesOf(0)).containsOnly(MemberStatus.ALIVE);
  }

  @Test
  void shouldNotDeclareOthersDeadWhenItWasPausedItself() {
    network.pause(0);
    network.advance(Duration.ofSeconds(3));

    network.resume(0);
    network.advance(Duration.ofMillis(500));

    assertThat(network.members().get(0).table().all())
        .noneMatch(record -> record.status() == MemberStatus.DEAD);
  }

  @Test
  void shouldBecomeAliveAgainWhenItRestartsWithoutState() {
    network.stop(0);
    network.advance(Duration.ofSeconds(10));

    network.restart(0);
    network.advance(Duration.ofSeconds(10));

    assertThat(network.statusesOf(0)).containsOnly(MemberStatus.ALIVE);
  }

  @Test
  void shouldSupersedeItsOldRecordWhenTheClockWasSetBackBeforeARestart() {
    network.stop(0);
    network.advance(Duration.ofSeconds(10));

    network.restartWithIncarnation(0, 1);
    network.advance(Duration.ofSeconds(15));

    assertThat(network.statusesOf(0)).containsOnly(MemberStatus.ALIVE);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.05, 0.2})
  void shouldKeepAllMembersAliveWhenMessagesAreLostDuplicatedAndReordered(double probability) {
    network.disturb(probability);

    network.advance(Duration.ofSeconds(60));

    for (int member = 0; member < 5; member++) {
      assertThat(network.statusesOf(member)).doesNotContain(MemberStatus.DEAD);
    }
  }

  @Test
  void shouldFindAllMembersAgainWhenANetworkPartitionEnds() {
    BiPredicate<Integer, Integer> acrossPartition = (source, target) -> source < 2 != target < 2;
    network.block(acrossPartition);
    network.advance(Duration.ofSeconds(20));
    assertThat(network.members().get(0).table().size()).isEqualTo(2);

    network.block((source, target) -> false);
    network.advance(Duration.ofSeconds(20));

    assertThat(network.members()).allMatch(member -> member.alive().count() == 5);
  }

  @Test
  void shouldKeepTheTimeOfTheLastMessageWhenNoneArrivesFromOtherZones() {
    network.block((source, target) -> true);

    network.advance(Duration.ofSeconds(6));

    GossipProtocol member = network.members().get(0);
    assertThat(member.hasMembersInOtherZones()).isTrue();
    assertThat(member.lastReceivedFromOtherZone())
        .isBefore(network.now().minus(Duration.ofSeconds(5)));
  }

  @Test
  void shouldEmptyTheBacklogWhenRecordsWereSentOftenEnough() {
    SimulatedNetwork larger = new SimulatedNetwork(30, 43);
    larger.introduceAll();

    larger.advance(Duration.ofSeconds(60));

    assertThat(larger.members()).allMatch(member -> member.table().size() == 30);
    assertThat(larger.members()).allMatch(member -> member.backlog() == 0);
  }

  @Test
  void shouldNotEnqueueRecordsWhenTheyArriveInBulk() {
    GossipProtocol member = network.members().get(0);
    network.advance(Duration.ofSeconds(60));
    int before = member.backlog();
    MemberRecord other = network.members().get(1).table().self();

    member.mergeBulkRecords(List.of(other.next(MemberStatus.ALIVE, List.of())));

    assertThat(member.backlog()).isEqualTo(before);
  }

  @Test
  void shouldDisseminateUpstreamsWithinThreeSecondsWhenTheyAreAnnounced() {
    AnnouncedUpstream upstream = new AnnouncedUpstream("u", "ledger", "v1", 20, false);
    network.announce(0, MemberStatus.ALIVE, List.of(upstream));

    network.advance(Duration.ofSeconds(3));

    assertThat(network.members())
        .allMatch(
            member ->
                member
                    .table()
                    .find(network.identifier(0))
                    .orElseThrow()
                    .upstreams()
                    .contains(upstream));
  }
}
