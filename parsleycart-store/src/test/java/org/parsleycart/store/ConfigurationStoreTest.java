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
  private static final int OPERATIONS_PER_ACCEPTANCE = 5;
  private static final int ALL_FURTHER_OPERATIONS = 1000;

  private final InMemoryTable table = new InMemoryTable();
  private final FaultyTable faultyTable = new FaultyTable(table);
  private final InMemoryObjectStore objects = new InMemoryObjectStore();
  private final ConfigurationStore store = storeOn(faultyTable);

  private ConfigurationStore storeOn(TransactionalTable rows) {
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);
    return new ConfigurationStore(new Platform(rows, objects), ConfigurationLog.empty(), clock);
  }

  private static ConfigurationChange addZone(String identifier, String zone) {
    return new ConfigurationChange(
        identifier, "tester", List.of(new AvailabilityZone(zone, Map.of())), List.of());
  }

  private static ConfigurationChange addZone(String identifier, String zone, String label) {
    return new ConfigurationChange(
        identifier, "tester", List.of(new AvailabilityZone(zone, Map.of("by", label))), List.of());
  }

  /** Returns the number of rows with the change, which is how often it was accepted. */
  private long countAcceptances(String identifier) {
    ConfigurationLog log = ConfigurationLog.empty();
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);
    new ConfigurationStore(new Platform(table, objects), log, clock).catchUp().get();
    return log.recentChanges().stream()
        .filter(each -> each.change().identifier().equals(identifier))
        .count();
  }

  /**
   * Guards against a gap in the rows, past which no daemon can read, after a restore from a copy.
   */
  @Test
  void shouldWriteRowsAgainWhenTheTableHasLostTheNewest() {
    store.accept(addZone("first", "abdali"), Optional.empty()).get();
    store.accept(addZone("second", "marka"), Optional.empty()).get();
    store.accept(addZone("third", "khalda"), Optional.empty()).get();
    List.of(2L, 3L).forEach(this::loseRow);

    store.accept(addZone("fourth", "sweileh"), Optional.empty()).get();

    ConfigurationLog reader = ConfigurationLog.empty();
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);
    assertThat(new ConfigurationStore(new Platform(table, objects), reader, clock).catchUp().get())
        .isEqualTo(4);
    assertThat(reader.current().zones()).hasSize(4);
  }

  private void loseRow(long version) {
    String key = ConfigurationStore.rowKey(version);
    table.delete(key, table.read(key).get().orElseThrow().revision()).get();
  }

  static Stream<Arguments> faultsAtEveryOperation() {
    return Stream.of(Fault.values())
        .flatMap(
            fault ->
                Stream.iterate(
                        0,
                        operation -> operation < OPERATIONS_PER_ACCEPTANCE,
                        operation -> operation + 1)
                    .flatMap(
                        operation ->
                            Stream.of(
                                Arguments.of(fault, operation, 1),
                                Arguments.of(fault, operation, ALL_FURTHER_OPERATIONS))));
  }

  @ParameterizedTest
  @MethodSource("faultsAtEveryOperation")
  void shouldReportTheOutcomeAndAcceptOnceWhenAnyOperationFails(
      Fault fault, int operation, int faultyOperations) {
    ConfigurationStore other = storeOn(table);
    Runnable concurrentWriter =
        () -> other.accept(addZone("concurrent", "marka"), Optional.empty());
    store.accept(addZone("first", "abdali"), Optional.empty());
    faultyTable.scheduleFault(fault, operation, faultyOperations, concurrentWriter);

    Either<AcceptanceError, Long> result =
        store.accept(addZone("change", "sweileh"), Optional.empty());

    long acceptances = countAcceptances("change");
    if (result.isRight()) {
      assertThat(acceptances).isEqualTo(1);
    } else if (!(result.getLeft() instanceof AcceptanceError.Unknown)) {
      assertThat(acceptances).isZero();
    }

    faultyTable.scheduleFault(Fault.NONE, 0, 0, () -> {});
    Either<AcceptanceError, Long> repeated =
        store.accept(addZone("change", "sweileh"), Optional.empty());

    assertThat(repeated.isRight()).isTrue();
    assertThat(countAcceptances("change")).isEqualTo(1);
  }

  @Test
  void shouldAcceptOneChangeWhenTwoConcurrentOnesAffectTheSameResource() {
    ConfigurationStore other = storeOn(table);
    faultyTable.scheduleFault(
        Fault.CONCURRENT_WRITE,
        1,
        1,
        () -> other.accept(addZone("other", "abdali", "other"), Optional.empty()));

    Either<AcceptanceError, Long> rejected =
        store.accept(addZone("one", "abdali", "one"), Optional.empty());

    assertThat(rejected.getLeft()).isInstanceOf(AcceptanceError.Conflict.class);
    assertThat(((AcceptanceError.Conflict) rejected.getLeft()).version()).isEqualTo(1);
    assertThat(countAcceptances("one")).isZero();
  }

  @Test
  void shouldAcceptBothChangesWhenConcurrentOnesAffectDifferentResources() {
    ConfigurationStore other = storeOn(table);
    faultyTable.scheduleFault(
        Fault.CONCURRENT_WRITE,
        1,
        1,
        () -> other.accept(addZone("other", "marka"), Optional.empty()));

    assertThat(store.accept(addZone("one", "abdali"), Optional.empty()).get()).isEqualTo(2);
  }

  @Test
  void shouldReturnTheOriginalVersionWhenAChangeIsRepeated() {
    store.accept(addZone("one", "abdali"), Optional.empty());
    store.accept(addZone("two", "marka"), Optional.empty());

    assertThat(store.accept(addZone("one", "abdali"), Optional.empty()).get()).isEqualTo(1);
  }

  @Test
  void shouldReadSnapshotAndRowsWhenEarlyRowsAreCompacted() {
    long versions = ConfigurationStore.SNAPSHOT_INTERVAL * 3 + 5;
    for (long version = 1; version <= versions; version++) {
      store.accept(addZone("change-" + version, "zone-" + version), Optional.empty());
    }
    ConfigurationLog freshLog = ConfigurationLog.empty();
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);

    new ConfigurationStore(new Platform(table, objects), freshLog, clock).catchUp().get();

    assertThat(table.read(ConfigurationStore.rowKey(1)).get()).isEmpty();
    assertThat(freshLog.current().version()).isEqualTo(versions);
    assertThat(freshLog.current().zones()).hasSize((int) versions);
  }

  @Test
  void shouldReturnAnErrorWhenTheTableDoesNotAnswer() {
    store.accept(addZone("one", "abdali"), Optional.empty());
    faultyTable.scheduleFault(Fault.REQUEST_LOST, 0, ALL_FURTHER_OPERATIONS, () -> {});

    assertThat(storeOn(faultyTable).catchUp().isLeft()).isTrue();
  }
}
