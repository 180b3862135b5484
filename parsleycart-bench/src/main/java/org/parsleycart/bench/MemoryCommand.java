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

/** Measures the heap that members and services take after a full collection. */
@Command(
    name = "memory",
    description = "Heap of members and of services after a full collection.",
    mixinStandardHelpOptions = true)
final class MemoryCommand implements Callable<Integer> {
  private static final int COLLECTIONS = 6;
  private static final int ROUTES_PER_SERVICE = 3;
  private static final List<Integer> MEMBERS = List.of(530, 1767, 5300);
  private static final List<Integer> SERVICES = List.of(45, 150, 450);

  @Option(names = "--out", defaultValue = "target/figures")
  private Path out;

  @Override
  public Integer call() {
    Table table = Table.of("thing", "count", "heapBytes", "encodedBytes");
    heapOf(() -> members(MEMBERS.get(0)));
    heapOf(() -> configuration(SERVICES.get(0)));
    for (int count : MEMBERS) {
      long heap = heapOf(() -> members(count));
      table.row("members", count, heap, encoded(1).length * (long) count);
    }
    for (int count : SERVICES) {
      long heap = heapOf(() -> configuration(count));
      table.row("services", count, heap, configuration(count).toBytes().length);
    }
    table.write(out, "memory");
    return 0;
  }

  /** Returns the heap that a thing takes; the first use of a maker loads classes and misleads. */
  private static long heapOf(Supplier<Object> maker) {
    long before = usedHeap();
    Object made = maker.get();
    try {
      return usedHeap() - before;
    } finally {
      Reference.reachabilityFence(made);
    }
  }

  private static long usedHeap() {
    for (int collection = 0; collection < COLLECTIONS; collection++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static byte[] encoded(int index) {
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

  /** Returns a table of records as they come from messages, which share no texts. */
  private static MembershipTable members(int count) {
    List<MemberRecord> records =
        IntStream.range(0, count)
            .mapToObj(MemoryCommand::encoded)
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
    Stream<Resource> all =
        IntStream.range(0, services).boxed().flatMap(MemoryCommand::serviceAndRoutes);
    ConfigurationChange change =
        new ConfigurationChange(
            "first", "bench", Stream.concat(Stream.of(contract), all).toList(), List.of());
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
