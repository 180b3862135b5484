package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Recency;

/** Distribution of complete versions that another writer publishes on the platform. */
class ConfigurationLogPublishedVersionsTest {
  private final ConfigurationLog reader = ConfigurationLog.empty();
  private final ConfigurationLog peer = ConfigurationLog.empty();

  private static Configuration published(long version, String... zones) {
    return Configuration.of(
            version, Stream.of(zones).map(zone -> new AvailabilityZone(zone, Map.of())).toList())
        .get();
  }

  private static Recency readThrough(long version) {
    return new Recency(0, version);
  }

  private ConfigurationAnswer answerTo(long afterVersion) {
    return reader.answer(new ConfigurationRequest("peer", afterVersion));
  }

  @Test
  void shouldSendADiffWhenThePeerHoldsThePreviousVersion() {
    reader.applyPublished(published(10, "abdali", "marka"), readThrough(10));
    peer.receive(answerTo(-1));
    reader.applyPublished(published(17, "abdali", "khalda"), readThrough(17));

    ConfigurationAnswer answer = answerTo(10);

    assertThat(answer.snapshot()).isEmpty();
    assertThat(answer.changes()).hasSize(1);
    assertThat(answer.changes().get(0).change().affectedResources()).hasSize(2);
    assertThat(peer.receive(answer).get()).isEqualTo(1);
    assertThat(peer.head()).isEqualTo(reader.head());
  }

  @Test
  void shouldSendAllDiffsAtOnceWhenThePeerMissedSeveralVersions() {
    reader.applyPublished(published(10, "abdali"), readThrough(10));
    peer.receive(answerTo(-1));
    IntStream.range(0, 5)
        .forEach(
            index ->
                reader.applyPublished(
                    published(20 + 3 * index, "abdali", "zone-" + index), readThrough(40)));

    assertThat(peer.receive(answerTo(10)).get()).isEqualTo(5);

    assertThat(peer.head()).isEqualTo(reader.head());
    assertThat(peer.answer(new ConfigurationRequest("third", 20)).changes()).hasSize(4);
  }

  @Test
  void shouldSendASnapshotWhenThePeerHoldsAnUnknownVersion() {
    reader.applyPublished(published(10, "abdali"), readThrough(10));
    reader.applyPublished(published(20, "abdali", "marka"), readThrough(20));
    peer.applyPublished(published(12, "weiz"), readThrough(12));

    ConfigurationAnswer answer = answerTo(12);

    assertThat(answer.snapshot()).isPresent();
    assertThat(peer.receive(answer).get()).isEqualTo(1);
    assertThat(peer.head()).isEqualTo(reader.head());
  }

  @Test
  void shouldIgnoreChangesFromPeersWhenThePlatformWasReadPastThem() {
    reader.applyPublished(published(10, "abdali"), readThrough(10));
    peer.receive(answerTo(-1));
    reader.applyPublished(published(15, "marka"), readThrough(15));
    peer.recordReadThrough(readThrough(16));

    assertThat(peer.receive(answerTo(10)).get()).isZero();

    assertThat(peer.current().version()).isEqualTo(10);
  }

  @Test
  void shouldNeverGoBackWhenAnOlderVersionIsPublished() {
    reader.applyPublished(published(10, "abdali"), readThrough(10));

    assertThat(reader.applyPublished(published(9, "marka"), readThrough(10))).isFalse();

    assertThat(reader.current().zones())
        .extracting(AvailabilityZone::name)
        .isEqualTo(List.of("abdali"));
  }
}
