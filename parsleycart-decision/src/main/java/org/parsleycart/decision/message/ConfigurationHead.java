package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

/**
 * The newest configuration version that a daemon holds completely.
 *
 * @param digest the leading hexadecimal digits of the digest of the snapshot
 */
public record ConfigurationHead(long version, String digest) {
  /** The number of hexadecimal digits of the digest that a head carries. */
  public static final int DIGEST_DIGITS = 16;

  // -- construction

  public ConfigurationHead {
    requireNonNull(digest, "digest is null");
  }
}
