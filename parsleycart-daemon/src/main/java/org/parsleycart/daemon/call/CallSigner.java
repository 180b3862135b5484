package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import org.parsleycart.link.PeerKeys;

/** Signs calls between daemons and verifies the signatures, with keys that the daemons share. */
public final class CallSigner {
  private final PeerKeys keys;

  // -- construction

  public CallSigner(PeerKeys keys) {
    this.keys = requireNonNull(keys, "keys is null");
  }

  // -- operations

  String sign(
      String requestIdentifier, String upstream, String route, Optional<String> organisation) {
    return HexFormat.of()
        .formatHex(keys.sign(signedBytes(requestIdentifier, upstream, route, organisation)));
  }

  /**
   * Returns whether the signature, in hexadecimal, was made with a shared key for the same call.
   */
  boolean isValid(
      String requestIdentifier,
      String upstream,
      String route,
      Optional<String> organisation,
      String signature) {
    try {
      byte[] bytes = HexFormat.of().parseHex(signature);
      return keys.isValidSignature(
          signedBytes(requestIdentifier, upstream, route, organisation), bytes);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /**
   * Returns the bytes to sign. Without an organisation they are those of earlier builds, so that a
   * fleet can be upgraded daemon by daemon. No part contains a line break, because all are headers.
   */
  private static byte[] signedBytes(
      String requestIdentifier, String upstream, String route, Optional<String> organisation) {
    String text = requestIdentifier + "\n" + upstream + "\n" + route;
    return organisation
        .map(name -> text + "\n" + name)
        .orElse(text)
        .getBytes(StandardCharsets.UTF_8);
  }
}
