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
  void shouldStayAtItsVersionWhenAnOlderOneArrives() {
    List<VersionedChange> changes = history(5);
    ConfigurationLog log = logOf(changes);
    ConfigurationAnswer old =
        logOf(changes.subList(0, 3)).answer(new ConfigurationRequest("x", -1));

    assertThat(log.append(changes.get(1)).get()).isFalse();
    assertThat(log.receive(old).get()).isZero();
    assertThat(log.current().version()).isEqualTo(5);
  }

  @Test
  void shouldApplyNothingWhenVersionsBetweenAreMissing() {
    ConfigurationLog log = logOf(history(2));

    assertThat(log.append(history(5).get(4)).getLeft())
        .isInstanceOf(ConfigurationUpdateError.Gap.class);
    assertThat(log.current().version()).isEqualTo(2);
  }

  @Test
  void shouldApplyNothingWhenTheDigestDoesNotMatch() {
    VersionedChange real = history(1).get(0);
    VersionedChange forged = new VersionedChange(1, 1, real.change(), Digest.of(new byte[] {1}));
    ConfigurationLog log = ConfigurationLog.empty();

    assertThat(log.append(forged).getLeft())
        .isInstanceOf(ConfigurationUpdateError.DigestMismatch.class);
    assertThat(log.current().version()).isZero();
  }

  @Test
  void shouldServeASnapshotWhenThePeerIsFurtherBehindThanTheChangesKept() {
    ConfigurationLog log = logOf(history(ConfigurationLog.KEPT_CHANGES + 10));

    ConfigurationAnswer answer = log.answer(new ConfigurationRequest("x", 3));
    ConfigurationLog late = ConfigurationLog.empty();

    assertThat(answer.snapshot()).isPresent();
    assertThat(late.receive(answer).get()).isEqualTo(1);
    assertThat(late.head()).isEqualTo(log.head());
  }

  @Test
  void shouldRefuseASnapshotWhenItsBytesAreDamaged() {
    ConfigurationLog log = logOf(history(2));
    ConfigurationAnswer whole = log.answer(new ConfigurationRequest("x", -1));
    String damaged = "AAAA" + whole.snapshot().orElseThrow().base64().substring(4);
    ConfigurationAnswer answer =
        new ConfigurationAnswer(whole.head(), List.of(), Optional.of(new EncodedSnapshot(damaged)));
    ConfigurationLog late = ConfigurationLog.empty();

    assertThat(late.receive(answer).isLeft()).isTrue();
    assertThat(late.current().version()).isZero();
  }

  @Property(seed = "31", tries = 200)
  void shouldNeverGoBackNorApplyInPartWhateverArrivesInWhateverOrder(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int arrivals) {
    List<VersionedChange> changes = history(12);
    ConfigurationLog log = ConfigurationLog.empty();
    Random random = new Random(seed);
    long highest = 0;
    for (int arrival = 0; arrival < arrivals; arrival++) {
      int upTo = 1 + random.nextInt(changes.size());
      ConfigurationLog peer = logOf(changes.subList(0, upTo));
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
