package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.EncodedSnapshot;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Digest;

class ConfigurationLogTest {

  /** Returns a history of changes, each of which adds a zone. */
  static List<VersionedChange> history(int length) {
    List<VersionedChange> changes = new ArrayList<>();
    Configuration configuration = Configuration.empty();
    for (int index = 1; index <= length; index++) {
      ConfigurationChange change =
          new ConfigurationChange(
              "change-" + index,
              "tester",
              List.of(new AvailabilityZone("zone-" + index, java.util.Map.of())),
              List.of());
      configuration = configuration.apply(change).get();
      changes.add(new VersionedChange(index, index, change, configuration.digest()));
    }
    return changes;
  }

  static ConfigurationLog logOf(List<VersionedChange> changes) {
    ConfigurationLog log = ConfigurationLog.empty();
    changes.forEach(change -> assertThat(log.append(change).isRight()).isTrue());
    return log;
  }

  @Test
  void shouldKeepItsVersionWhenAnOlderOneArrives() {
    List<VersionedChange> changes = history(5);
    ConfigurationLog log = logOf(changes);
    ConfigurationAnswer olderAnswer =
        logOf(changes.subList(0, 3)).answer(new ConfigurationRequest("x", -1));

    assertThat(log.append(changes.get(1)).get()).isFalse();
    assertThat(log.receive(olderAnswer).get()).isZero();
    assertThat(log.current().version()).isEqualTo(5);
  }

  @Test
  void shouldApplyNothingWhenVersionsInBetweenAreMissing() {
    ConfigurationLog log = logOf(history(2));

    assertThat(log.append(history(5).get(4)).getLeft())
        .isInstanceOf(ConfigurationUpdateError.Gap.class);
    assertThat(log.current().version()).isEqualTo(2);
  }

  @Test
  void shouldApplyNothingWhenTheDigestDoesNotMatch() {
    VersionedChange genuine = history(1).get(0);
    VersionedChange forged = new VersionedChange(1, 1, genuine.change(), Digest.of(new byte[] {1}));
    ConfigurationLog log = ConfigurationLog.empty();

    assertThat(log.append(forged).getLeft())
        .isInstanceOf(ConfigurationUpdateError.DigestMismatch.class);
    assertThat(log.current().version()).isZero();
  }

  @Test
  void shouldServeASnapshotWhenThePeerNeedsChangesThatAreNoLongerKept() {
    ConfigurationLog log = logOf(history(ConfigurationLog.MAXIMUM_KEPT_CHANGES + 10));

    ConfigurationAnswer answer = log.answer(new ConfigurationRequest("x", 3));
    ConfigurationLog lagging = ConfigurationLog.empty();

    assertThat(answer.snapshot()).isPresent();
    assertThat(lagging.receive(answer).get()).isEqualTo(1);
    assertThat(lagging.head()).isEqualTo(log.head());
  }

  @Test
  void shouldRejectASnapshotWhenItsBytesAreCorrupted() {
    ConfigurationLog log = logOf(history(2));
    ConfigurationAnswer snapshotAnswer = log.answer(new ConfigurationRequest("x", -1));
    String corrupted = "AAAA" + snapshotAnswer.snapshot().orElseThrow().base64().substring(4);
    ConfigurationAnswer answer =
        new ConfigurationAnswer(
            snapshotAnswer.head(), List.of(), Optional.of(new EncodedSnapshot(corrupted)));
    ConfigurationLog lagging = ConfigurationLog.empty();

    assertThat(lagging.receive(answer).isLeft()).isTrue();
    assertThat(lagging.current().version()).isZero();
  }

  @Property(seed = "31", tries = 200)
  void shouldNeverGoBackOrApplyPartiallyWhenAnswersArriveInAnyOrder(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int arrivals) {
    List<VersionedChange> changes = history(12);
    ConfigurationLog log = ConfigurationLog.empty();
    Random random = new Random(seed);
    long highest = 0;
    for (int arrival = 0; arrival < arrivals; arrival++) {
      int version = 1 + random.nextInt(changes.size());
      ConfigurationLog peer = logOf(changes.subList(0, version));
      log.receive(peer.answer(new ConfigurationRequest("x", random.nextInt(13) - 1)));

      assertThat(log.current().version()).isGreaterThanOrEqualTo(highest);
      highest = log.current().version();
      assertThat(log.current().zones()).hasSize((int) highest);
      Digest expected =
          highest == 0 ? Configuration.empty().digest() : changes.get((int) highest - 1).digest();
      assertThat(log.digest()).isEqualTo(expected);
    }
  }
}
