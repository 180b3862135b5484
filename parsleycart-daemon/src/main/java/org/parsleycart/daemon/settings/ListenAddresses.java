package org.parsleycart.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.parsleycart.link.Addresses;
import org.parsleycart.model.document.MappingReader;

/**
 * The addresses that a daemon listens on.
 *
 * @param callers for calls from callers, HTTP
 * @param daemons for calls from other daemons, HTTP
 * @param control for control messages, TCP and UDP
 * @param operators for operators and local upstreams, HTTP
 * @param readiness for readiness checks, HTTP, if separate from the address for operators
 */
public record ListenAddresses(
    InetSocketAddress callers,
    InetSocketAddress daemons,
    InetSocketAddress control,
    InetSocketAddress operators,
    Optional<InetSocketAddress> readiness) {

  // -- construction

  public ListenAddresses {
    requireNonNull(callers, "callers is null");
    requireNonNull(daemons, "daemons is null");
    requireNonNull(control, "control is null");
    requireNonNull(operators, "operators is null");
    requireNonNull(readiness, "readiness is null");
  }

  static ListenAddresses from(MappingReader reader) {
    ListenAddresses addresses =
        new ListenAddresses(
            address(reader, "callers"),
            address(reader, "daemons"),
            address(reader, "control"),
            address(reader, "operators"),
            reader.has("readiness") ? Optional.of(address(reader, "readiness")) : Optional.empty());
    reader.reportUnknownKeys();
    return addresses;
  }

  private static InetSocketAddress address(MappingReader reader, String key) {
    String text = reader.requiredText(key);
    Optional<InetSocketAddress> address = Addresses.parse(text);
    if (address.isEmpty() && reader.has(key)) {
      reader.report(key, "\"" + text + "\"", "an IP address and port such as 10.0.0.7:7400");
    }
    return address.orElseGet(() -> new InetSocketAddress(0));
  }
}
