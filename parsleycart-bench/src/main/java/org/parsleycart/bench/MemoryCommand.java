package org.parsleycart.bench;

import java.lang.ref.Reference;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.membership.MembershipTable;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Contract;
import org.parsleycart.model.RequestKind;
import org.parsleycart.model.Resource;
import org.parsleycart.model.Route;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Service;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MessagePackDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the heap retained by member records and by service configurations. */
@Command(
    name = "memory",
    description = "Heap retained by members and by services after full garbage collections.",
    mixinStandardHelpOptions = true)
final class MemoryCommand implements Callable<Integer> {
  private static final int COLLECTIONS_PER_MEASUREMENT = 6;
  private static final int ROUTES_PER_SERVICE = 3;
  private static final List<Integer> MEMBER_COUNTS = List.of(530, 1767, 5300);
  private static final List<Integer> SERVICE_COUNTS = List.of(45, 150, 450);

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

  @Override
  public Integer call() {
    Table table = Table.of("thing", "count", "heapBytes", "encodedBytes");
    // Loads the classes, which would otherwise count in the first rows.
    heapOf(() -> membershipTable(MEMBER_COUNTS.get(0)));
    heapOf(() -> configuration(SERVICE_COUNTS.get(0)));
    for (int count : MEMBER_COUNTS) {
      long heap = heapOf(() -> membershipTable(count));
      table.row("members", count, heap, encodedMember(1).length * (long) count);
    }
    for (int count : SERVICE_COUNTS) {
      long heap = heapOf(() -> configuration(count));
      table.row("services", count, heap, configuration(count).toBytes().length);
    }
    table.write(outputFolder, "memory");
    return 0;
  }

  /**
   * Returns the heap bytes retained by the supplied object. The first call for a supplier is too
   * high, as it counts the classes that the supplier loads.
   */
  private static long heapOf(Supplier<Object> supplier) {
    long bytesBefore = usedHeapAfterCollections();
    Object retained = supplier.get();
    try {
      return usedHeapAfterCollections() - bytesBefore;
    } finally {
      Reference.reachabilityFence(retained);
    }
  }

  private static long usedHeapAfterCollections() {
    for (int collection = 0; collection < COLLECTIONS_PER_MEASUREMENT; collection++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static byte[] encodedMember(int index) {
    String address = "10.0." + index / 256 + "." + index % 256;
    MemberRecord record =
        new MemberRecord(
            address + ":7402",
            1_700_000_000_000L + index,
            3,
            MemberStatus.ALIVE,
            "zone-" + index % 8,
            address + ":7401",
            Map.of("rack", "r" + index % 100),
            List.of(
                new AnnouncedUpstream(
                    "upstream-" + index, "service-" + index % 450, "v1", 20, false)));
    return MessagePackDocuments.format(record.toDocument());
  }

  /** Returns a table of decoded records; as after reception, they share no strings. */
  private static MembershipTable membershipTable(int count) {
    List<MemberRecord> records =
        IntStream.range(0, count)
            .mapToObj(MemoryCommand::encodedMember)
            .map(bytes -> MessagePackDocuments.parse(bytes).get())
            .map((Document document) -> MemberRecord.from(document, new ArrayList<>()))
            .toList();
    MembershipTable table = new MembershipTable(records.get(0), Instant.EPOCH);
    records.forEach(record -> table.merge(record, Instant.EPOCH));
    return table;
  }

  private static Configuration configuration(int services) {
    Duration second = Duration.ofSeconds(1);
    Resource contract = new Contract("read", RequestKind.INTERACTIVE_READ, second, second, 3);
    Stream<Resource> servicesAndRoutes =
        IntStream.range(0, services).boxed().flatMap(MemoryCommand::serviceAndRoutes);
    ConfigurationChange change =
        new ConfigurationChange(
            "first",
            "bench",
            Stream.concat(Stream.of(contract), servicesAndRoutes).toList(),
            List.of());
    return Configuration.from(Configuration.empty().apply(change).get().toBytes()).get();
  }

  private static Stream<Resource> serviceAndRoutes(int index) {
    String name = "service-" + index;
    Resource service = new Service(name, "v1", Duration.ofSeconds(10), Map.of());
    Stream<Resource> routes =
        IntStream.range(0, ROUTES_PER_SERVICE)
            .mapToObj(
                route ->
                    new Route(
                        "route-" + index + "-" + route,
                        "/" + name + "/" + route,
                        name,
                        "read",
                        Selector.all()));
    return Stream.concat(Stream.of(service), routes);
  }
}
