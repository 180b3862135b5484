package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats network addresses, which consist of an IP address and a port. */
public final class Addresses {
  private static final Pattern FORMAT =
      Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");
  private static final int MAXIMUM_PORT = 65_535;
  private static final int MAXIMUM_OCTET = 255;

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param text such as {@code 10.0.0.7:7402} or {@code [::1]:7402}; host names are not resolved
   * @return the address, or empty if the text has another format
   */
  public static Optional<InetSocketAddress> parse(String text) {
    requireNonNull(text, "text is null");
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()
        || Integer.parseInt(matcher.group(2)) > MAXIMUM_PORT
        || !isNumeric(matcher.group(1))) {
      return Optional.empty();
    }
    try {
      InetAddress host = InetAddress.getByName(matcher.group(1));
      return Optional.of(new InetSocketAddress(host, Integer.parseInt(matcher.group(2))));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  /** Returns whether a host needs no resolver, which would take a text such as 999.1.1.1. */
  private static boolean isNumeric(String host) {
    return host.startsWith("[")
        || Arrays.stream(host.split("\\.", -1))
            .allMatch(octet -> Integer.parseInt(octet) <= MAXIMUM_OCTET);
  }

  /**
   * Parses an address to which connections can be opened.
   *
   * @param text as for {@link #parse}; the port must not be 0
   */
  public static Optional<InetSocketAddress> parseTarget(String text) {
    return parse(text).filter(address -> address.getPort() > 0);
  }

  /** Formats an address; an IPv6 address is enclosed in brackets. */
  public static String format(InetSocketAddress address) {
    requireNonNull(address, "address is null");
    String host = address.getAddress().getHostAddress();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }
}
