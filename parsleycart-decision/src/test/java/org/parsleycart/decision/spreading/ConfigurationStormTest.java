package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Recency;
import org.parsleycart.model.Resource;

/**
 * A storm of changes to a large configuration: while a daemon works on one version, operators
 * confirm more. The work of a daemon must grow with the number of its pulls, not with the number of
 * versions in them.
 */
class ConfigurationStormTest {
  private static final int RESOURCES = 1500;
  private static final int VERSIONS = 25;

  private final AtomicInteger encodedSnapshots = new AtomicInteger();
  private final ConfigurationLog watcher = ConfigurationLog.empty();
  private final ConfigurationLog follower =
      ConfigurationLog.empty(
          configuration -> {
            encodedSnapshots.incrementAndGet();
            return configuration.digest();
          });

  /** Returns a large configuration; versions differ in the label of one of the resources. */
  private static Configuration configuration(int version) {
    List<Resource> resources = new ArrayList<>();
    IntStream.range(0, RESOURCES)
        .mapToObj(
            index ->
                new AvailabilityZone(
                    "zone-" + index,
                    index == version ? Map.of("changed", "v" + version) : Map.of()))
        .forEach(resources::add);
    return Configuration.of(version, resources).get();
  }

  private void publish(int first, int last) {
    IntStream.rangeClosed(first, last)
        .forEach(
            version -> watcher.applyPublished(configuration(version), new Recency(0, version)));
  }

  private Either<ConfigurationUpdateError, Integer> pull() {
    return follower.receive(
        watcher.answer(new ConfigurationRequest("follower", follower.current().version())));
  }

  /** Guards against a daemon that falls behind a storm because it rebuilds every version. */
  @Test
  void shouldEncodeOneSnapshotWhenOnePullDeliversManyVersions() {
    publish(1, 1);
    assertThat(pull().isRight()).isTrue();
    encodedSnapshots.set(0);

    publish(2, VERSIONS);
    assertThat(pull()).isEqualTo(Either.right(VERSIONS - 1));

    assertThat(follower.head()).isEqualTo(watcher.head());
    assertThat(encodedSnapshots).hasValue(1);
  }

  @Test
  void shouldKeepEveryVersionForPeersWhenOnePullDeliversManyVersions() {
    publish(1, 1);
    pull();
    publish(2, 4);
    ConfigurationLog late = ConfigurationLog.empty();
    late.receive(watcher.answer(new ConfigurationRequest("late", -1)));
    publish(5, VERSIONS);
    pull();

    ConfigurationAnswer answer = follower.answer(new ConfigurationRequest("late", 4));

    assertThat(answer.snapshot()).isEmpty();
    assertThat(late.receive(answer)).isEqualTo(Either.right(VERSIONS - 4));
    assertThat(late.head()).isEqualTo(watcher.head());
  }

  @Test
  void shouldApplyNothingWhenAVersionInBetweenIsMissing() {
    publish(1, 1);
    pull();
    publish(2, 5);
    ConfigurationAnswer whole = watcher.answer(new ConfigurationRequest("follower", 1));
    ConfigurationAnswer broken =
        new ConfigurationAnswer(
            whole.head(),
            List.of(whole.changes().get(0), whole.changes().get(2), whole.changes().get(3)),
            whole.snapshot());

    assertThat(follower.receive(broken).getLeft()).isInstanceOf(ConfigurationUpdateError.Gap.class);
    assertThat(follower.current().version()).isEqualTo(1);
  }

  @Test
  void shouldApplyNothingWhenTheLastDigestDoesNotMatch() {
    publish(1, 1);
    pull();
    publish(2, 5);
    ConfigurationAnswer whole = watcher.answer(new ConfigurationRequest("follower", 1));
    ConfigurationChange other =
        new ConfigurationChange(
            "other", "tester", List.of(new AvailabilityZone("other", Map.of())), List.of());
    List<VersionedChange> changes = new ArrayList<>(whole.changes());
    changes.set(
        1, new VersionedChange(3, 0, other, changes.get(1).digest(), changes.get(1).diffBase()));

    assertThat(
            follower
                .receive(new ConfigurationAnswer(whole.head(), changes, whole.snapshot()))
                .getLeft())
        .isInstanceOf(ConfigurationUpdateError.DigestMismatch.class);
    assertThat(follower.current().version()).isEqualTo(1);
  }
}
