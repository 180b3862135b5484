package org.parsleycart.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.store.FaultyTable.Fault;

class ConfigurationStoreTest {
  private static final int STEPS_OF_ACCEPTANCE = 4;
  private static final int FOR_GOOD = 1000;

  private final InMemoryTable table = new InMemoryTable();
  private final FaultyTable faulty = new FaultyTable(table);
  private final InMemoryObjectStore objects = new InMemoryObjectStore();
  private final ConfigurationStore store = storeOn(faulty);

  private ConfigurationStore storeOn(TransactionalTable rows) {
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);
    return new ConfigurationStore(new Platform(rows, objects), ConfigurationLog.empty(), clock);
  }

  private static ConfigurationChange zone(String identifier, String zone) {
    return new ConfigurationChange(
        identifier, "tester", List.of(new AvailabilityZone(zone, Map.of())), List.of());
  }

  private static ConfigurationChange zone(String identifier, String zone, String label) {
    return new ConfigurationChange(
        identifier, "tester", List.of(new AvailabilityZone(zone, Map.of("by", label))), List.of());
  }

  /** Returns how many rows hold the change, which is how often it was accepted. */
  private long acceptedTimes(String identifier) {
    ConfigurationLog reader = ConfigurationLog.empty();
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);
    new ConfigurationStore(new Platform(table, objects), reader, clock).catchUp().get();
    return reader.recentChanges().stream()
        .filter(each -> each.change().identifier().equals(identifier))
        .count();
  }

  static Stream<Arguments> faultsAtEveryStep() {
    return Stream.of(Fault.values())
        .flatMap(
            fault ->
                Stream.iterate(0, step -> step < STEPS_OF_ACCEPTANCE, step -> step + 1)
                    .flatMap(
                        step ->
                            Stream.of(
                                Arguments.of(fault, step, 1),
                                Arguments.of(fault, step, FOR_GOOD))));
  }

  @ParameterizedTest
  @MethodSource("faultsAtEveryStep")
  void shouldTellTheTruthAndAcceptOnceWhateverFailsAtWhateverStep(
      Fault fault, int step, int operations) {
    ConfigurationStore other = storeOn(table);
    Runnable racer = () -> other.accept(zone("racer", "marka"), Optional.empty());
    store.accept(zone("first", "abdali"), Optional.empty());
    faulty.scheduleFault(fault, step, operations, racer);

    Either<AcceptanceError, Long> result =
        store.accept(zone("change", "sweileh"), Optional.empty());

    long times = acceptedTimes("change");
    if (result.isRight()) {
      assertThat(times).isEqualTo(1);
    } else if (!(result.getLeft() instanceof AcceptanceError.Unknown)) {
      assertThat(times).isZero();
    }

    faulty.scheduleFault(Fault.NONE, 0, 0, () -> {});
    Either<AcceptanceError, Long> repeated =
        store.accept(zone("change", "sweileh"), Optional.empty());

    assertThat(repeated.isRight()).isTrue();
    assertThat(acceptedTimes("change")).isEqualTo(1);
  }

  @Test
  void shouldLetOneOperatorWinWhenTwoRaceForTheSameResource() {
    ConfigurationStore other = storeOn(table);
    faulty.scheduleFault(
        Fault.RACER, 1, 1, () -> other.accept(zone("other", "abdali", "other"), Optional.empty()));

    Either<AcceptanceError, Long> loser =
        store.accept(zone("one", "abdali", "one"), Optional.empty());

    assertThat(loser.getLeft()).isInstanceOf(AcceptanceError.Conflict.class);
    assertThat(((AcceptanceError.Conflict) loser.getLeft()).version()).isEqualTo(1);
    assertThat(acceptedTimes("one")).isZero();
  }

  @Test
  void shouldLetBothWinWhenTwoRaceForDifferentResources() {
    ConfigurationStore other = storeOn(table);
    faulty.scheduleFault(
        Fault.RACER, 1, 1, () -> other.accept(zone("other", "marka"), Optional.empty()));

    assertThat(store.accept(zone("one", "abdali"), Optional.empty()).get()).isEqualTo(2);
  }

  @Test
  void shouldAnswerWithTheOldVersionWhenAChangeIsRepeated() {
    store.accept(zone("one", "abdali"), Optional.empty());
    store.accept(zone("two", "marka"), Optional.empty());

    assertThat(store.accept(zone("one", "abdali"), Optional.empty()).get()).isEqualTo(1);
  }

  @Test
  void shouldReadSnapshotAndRowsWhenEarlyRowsAreCompacted() {
    long versions = ConfigurationStore.SNAPSHOT_INTERVAL * 3 + 5;
    for (long version = 1; version <= versions; version++) {
      store.accept(zone("change-" + version, "zone-" + version), Optional.empty());
    }
    ConfigurationLog late = ConfigurationLog.empty();
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);

    new ConfigurationStore(new Platform(table, objects), late, clock).catchUp().get();

    assertThat(table.read(ConfigurationStore.rowKey(1)).get()).isEmpty();
    assertThat(late.current().version()).isEqualTo(versions);
    assertThat(late.current().zones()).hasSize((int) versions);
  }

  @Test
  void shouldNotTakeAnOutageForAnEmptyTable() {
    store.accept(zone("one", "abdali"), Optional.empty());
    faulty.scheduleFault(Fault.LOST_BEFORE, 0, FOR_GOOD, () -> {});

    assertThat(storeOn(faulty).catchUp().isLeft()).isTrue();
  }
}
