package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

/**
 * The newest configuration version that a daemon holds whole.
 *
 * @param version the version
 * @param digest the leading hexadecimal digits of the snapshot's digest
 */
public record ConfigurationHead(long version, String digest) {
  /** How many hexadecimal digits of a digest a head carries. */
  public static final int DIGEST_DIGITS = 16;

  // -- construction

  public ConfigurationHead {
    requireNonNull(digest, "digest is null");
  }
}
