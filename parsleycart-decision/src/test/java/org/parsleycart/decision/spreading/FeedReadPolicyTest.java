package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;

class FeedReadPolicyTest {
  private static final int ZONES = 4;
  private static final boolean NOT_STALLED = false;
  private static final RevocationPolicy LENIENT = RevocationPolicy.lenient();

  private static List<MemberRecord> fleet(int size) {
    return IntStream.range(0, size)
        .mapToObj(
            index ->
                new MemberRecord(
                    "10.0." + index + ".1:7000",
                    1,
                    0,
                    MemberStatus.ALIVE,
                    "zone-" + index % ZONES,
                    "10.0." + index + ".1:7001",
                    Map.of(),
                    List.of()))
        .toList();
  }

  private static List<MemberRecord> watchers(List<MemberRecord> alive) {
    return alive.stream().filter(member -> FeedReadPolicy.isWatcher(alive, member)).toList();
  }

  @Nested
  class IsWatcher {
    @ParameterizedTest
    @ValueSource(ints = {12, 77, 5300})
    void shouldChooseTheSameNumberInEachZoneWhenTheFleetSizeVaries(int size) {
      List<MemberRecord> watchers = watchers(fleet(size));

      assertThat(watchers).hasSize(ZONES * FeedReadPolicy.WATCHERS_PER_ZONE);
      IntStream.range(0, ZONES)
          .forEach(
              zone ->
                  assertThat(
                          watchers.stream()
                              .filter(watcher -> watcher.zone().equals("zone-" + zone)))
                      .hasSize(FeedReadPolicy.WATCHERS_PER_ZONE));
    }

    @Test
    void shouldReplaceOnlyOneWatcherWhenItDies() {
      List<MemberRecord> fleet = fleet(77);
      List<MemberRecord> before = watchers(fleet);
      MemberRecord dead = before.get(0);

      List<MemberRecord> after =
          watchers(fleet.stream().filter(member -> !member.equals(dead)).toList());

      assertThat(after).hasSameSizeAs(before).containsAll(before.subList(1, before.size()));
    }

    @Test
    void shouldChooseTheDaemonWhenItIsTheOnlyMember() {
      assertThat(watchers(fleet(1))).hasSize(1);
    }
  }

  @Nested
  class IsFallbackReadDue {
    @Test
    void shouldReadWhenNothingWasEverConfirmed() {
      assertThat(FeedReadPolicy.isFallbackReadDue(Optional.empty(), NOT_STALLED, 77, LENIENT))
          .isTrue();
    }

    @Test
    void shouldReadOnlyWhenTheConfirmationExceedsItsMaximumAge() {
      Duration maximumAge = FeedReadPolicy.maximumConfirmationAge(77);

      assertThat(
              FeedReadPolicy.isFallbackReadDue(Optional.of(maximumAge), NOT_STALLED, 77, LENIENT))
          .isFalse();
      assertThat(
              FeedReadPolicy.isFallbackReadDue(
                  Optional.of(maximumAge.plusMillis(1)), NOT_STALLED, 77, LENIENT))
          .isTrue();
    }

    /** Guards against refusals of keys while the platform would confirm the configuration. */
    @Test
    void shouldReadAtHalfTheMaximumAgeWhenRevocationIsStrict() {
      RevocationPolicy strict = new RevocationPolicy(true, Duration.ofSeconds(5));
      Optional<Duration> half = Optional.of(Duration.ofMillis(2500));
      Optional<Duration> more = Optional.of(Duration.ofMillis(2501));

      assertThat(FeedReadPolicy.isFallbackReadDue(half, NOT_STALLED, 77, strict)).isFalse();
      assertThat(FeedReadPolicy.isFallbackReadDue(more, NOT_STALLED, 77, strict)).isTrue();
      assertThat(FeedReadPolicy.isFallbackReadDue(more, NOT_STALLED, 77, LENIENT)).isFalse();
    }

    @Test
    void shouldReadWhenPeersHoldANewerVersionAndDoNotDeliverIt() {
      Optional<Duration> fresh = Optional.of(Duration.ZERO);

      assertThat(FeedReadPolicy.isFallbackReadDue(fresh, false, 77, LENIENT)).isFalse();
      assertThat(FeedReadPolicy.isFallbackReadDue(fresh, true, 77, LENIENT)).isTrue();
    }

    @Test
    void shouldReadWithinSevenSecondsWhenTheFleetHasTheTargetSize() {
      assertThat(FeedReadPolicy.maximumConfirmationAge(5300)).isLessThan(Duration.ofSeconds(7));
    }
  }
}
