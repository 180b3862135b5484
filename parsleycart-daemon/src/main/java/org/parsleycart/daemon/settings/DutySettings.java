package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.parsleycart.link.Addresses;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.platform.UsageBounds;

/**
 * The settings of the duties that the deployment asks its daemons for.
 *
 * @param address the address to which the results of the duties are sent, {@code host:port}
 * @param duties the names of the duties; unknown ones are left to other systems
 * @param callsPerSecond the calls that the platform takes from all daemons together
 * @param holder the name by which the platform knows this daemon
 * @param usageBounds the bounds of the usage duty
 */
public record DutySettings(
    String address,
    List<String> duties,
    double callsPerSecond,
    String holder,
    UsageBounds usageBounds) {
  private static final String USAGE = "usage";
  private static final double DEFAULT_CALLS_PER_SECOND = 50;
  private static final double MINIMUM_CALLS_PER_SECOND = 0.1;
  private static final double MAXIMUM_CALLS_PER_SECOND = 100_000;

  // -- construction

  public DutySettings {
    requireNonNull(address, "address is null");
    duties = List.copyOf(duties);
    requireNonNull(holder, "holder is null");
    requireNonNull(usageBounds, "usageBounds is null");
  }

  static DutySettings from(MappingReader reader, UsageBounds bounds) {
    DutySettings settings =
        new DutySettings(
            addressFrom(reader),
            reader.textItems("duties"),
            reader
                .decimal("callsPerSecond", MINIMUM_CALLS_PER_SECOND, MAXIMUM_CALLS_PER_SECOND)
                .orElse(DEFAULT_CALLS_PER_SECOND),
            holderFrom(reader),
            bounds);
    reader.reportUnknownKeys();
    return settings;
  }

  private static String addressFrom(MappingReader reader) {
    String address = reader.requiredText("address");
    if (reader.has("address") && Addresses.parseTarget(address).isEmpty()) {
      reader.report("address", "\"" + address + "\"", "an IP address and a port above 0");
    }
    return address;
  }

  private static String holderFrom(MappingReader reader) {
    String holder = reader.requiredText("holder");
    if (reader.has("holder") && !holder.matches("[!-~]{1,255}")) {
      reader.report("holder", "\"" + holder + "\"", "1 to 255 visible ASCII characters");
    }
    return holder;
  }

  // -- queries

  /** Returns these settings if they ask for the usage duty. */
  Optional<DutySettings> ifUsage() {
    return duties.contains(USAGE) ? Optional.of(this) : Optional.empty();
  }
}
