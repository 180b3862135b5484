package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The text form of addresses: an IP number and a port. */
public final class Addresses {
  private static final Pattern FORM =
      Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");
  private static final int HIGHEST_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param text such as {@code 10.0.0.7:7402} or {@code [::1]:7402}; names are not looked up
   * @return the address, or empty when the text has another form
   */
  public static Optional<InetSocketAddress> parse(String text) {
    requireNonNull(text, "text is null");
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > HIGHEST_PORT) {
      return Optional.empty();
    }
    try {
      InetAddress host = InetAddress.getByName(matcher.group(1));
      return Optional.of(new InetSocketAddress(host, Integer.parseInt(matcher.group(2))));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  /** Returns the text form. */
  public static String format(InetSocketAddress address) {
    requireNonNull(address, "address is null");
    String host = address.getAddress().getHostAddress();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }
}
