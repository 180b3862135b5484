package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.store.Row;
import org.parsleycart.store.TransactionalTable;

/**
 * Finds peers for a daemon that has no known peers.
 *
 * <p>The candidates come from the seed addresses in the settings and from rendezvous rows in the
 * table of the platform. The number of rows per zone is fixed, so that the load on the platform
 * does not grow with the fleet.
 */
public final class PeerDiscovery {
  private static final String ROW_PREFIX = "rendezvous/";
  private static final int ROWS_PER_ZONE = 3;
  private static final int MAXIMUM_ROWS = 64;

  private final TransactionalTable table;
  private final List<String> seeds;
  private final RandomGenerator random;
  private boolean rowClaimed;

  // -- construction

  public PeerDiscovery(TransactionalTable table, List<String> seeds, RandomGenerator random) {
    this.table = requireNonNull(table, "table is null");
    this.seeds = List.copyOf(seeds);
    this.random = requireNonNull(random, "random is null");
  }

  // -- operation

  /**
   * Returns the control addresses of possible peers and tries to publish the address of this daemon
   * in a rendezvous row. If the table cannot be read, the result contains the seeds only.
   */
  public List<String> discover(MemberRecord self) {
    requireNonNull(self, "self is null");
    List<Row> rows = table.scan(ROW_PREFIX, "", MAXIMUM_ROWS).getOrElse(List.of());
    Stream<String> publishedAddresses = rows.stream().map(PeerDiscovery::address);
    List<String> peers =
        Stream.concat(seeds.stream(), publishedAddresses)
            .filter(address -> !address.equals(self.identifier()))
            .distinct()
            .toList();
    rowClaimed = rowClaimed || claimRow(self, rows);
    return peers;
  }

  /**
   * Publishes the address of this daemon again if it was published, because the platform may have
   * lost the row. Returns whether nothing is left to do.
   */
  public boolean publishAgain(MemberRecord self) {
    requireNonNull(self, "self is null");
    return !rowClaimed
        || table
            .scan(ROW_PREFIX, "", MAXIMUM_ROWS)
            .map(rows -> claimRow(self, rows))
            .getOrElse(false);
  }

  /**
   * Writes the address of this daemon to a free row of its zone, or replaces a random row of the
   * zone, which may be stale. Returns whether the address is published.
   */
  private boolean claimRow(MemberRecord self, List<Row> rows) {
    if (rows.stream().anyMatch(row -> address(row).equals(self.identifier()))) {
      return true;
    }
    byte[] value = self.identifier().getBytes(StandardCharsets.UTF_8);
    Optional<String> freeKey =
        IntStream.range(0, ROWS_PER_ZONE)
            .mapToObj(index -> ROW_PREFIX + self.zone() + "/" + index)
            .filter(key -> rows.stream().noneMatch(row -> row.key().equals(key)))
            .findFirst();
    if (freeKey.isPresent()) {
      return table.insertIfAbsent(freeKey.get(), value).getOrElse(false);
    }
    String key = ROW_PREFIX + self.zone() + "/" + random.nextInt(ROWS_PER_ZONE);
    return rows.stream()
        .filter(row -> row.key().equals(key))
        .findFirst()
        .map(row -> table.compareAndSet(key, row.revision(), value).getOrElse(false))
        .orElse(false);
  }

  private static String address(Row row) {
    return new String(row.value(), StandardCharsets.UTF_8);
  }
}
