package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Digest;

/**
 * An accepted change.
 *
 * @param version the version that the change became
 * @param acceptedAt when, in milliseconds since the epoch
 * @param change the change
 * @param digest the digest of the whole snapshot at that version
 */
public record VersionedChange(
    long version, long acceptedAt, ConfigurationChange change, Digest digest) {

  // -- construction

  public VersionedChange {
    requireNonNull(change, "change is null");
    requireNonNull(digest, "digest is null");
  }
}
