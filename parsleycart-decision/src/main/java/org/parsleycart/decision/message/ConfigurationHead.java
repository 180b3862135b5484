package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.Configuration;
import org.parsleycart.model.Digest;
import org.parsleycart.model.Recency;

/**
 * The newest configuration that a daemon holds completely.
 *
 * @param recency the generation and version of the configuration
 * @param digest the leading hexadecimal digits of the digest of the snapshot
 */
public record ConfigurationHead(Recency recency, String digest) {
  /** The number of hexadecimal digits of the digest that a head carries. */
  public static final int DIGEST_DIGITS = 16;

  // -- construction

  public ConfigurationHead {
    requireNonNull(recency, "recency is null");
    requireNonNull(digest, "digest is null");
  }

  /** Creates the head of a configuration whose operators give no generation. */
  public ConfigurationHead(long version, String digest) {
    this(new Recency(0, version), digest);
  }

  /** Returns the head of a configuration with the given digest. */
  public static ConfigurationHead of(Configuration configuration, Digest digest) {
    return new ConfigurationHead(
        configuration.recency(), digest.hexadecimal().substring(0, DIGEST_DIGITS));
  }

  // -- queries

  public long version() {
    return recency.version();
  }

  /** Returns whether this head is of a more recent configuration than the other one. */
  public boolean isNewerThan(ConfigurationHead other) {
    return recency.isNewerThan(requireNonNull(other, "other is null").recency);
  }
}
