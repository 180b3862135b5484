package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.List;
import java.util.OptionalLong;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Digest;
import org.parsleycart.model.Violation;

/**
 * An accepted change.
 *
 * @param version the version that the change became
 * @param acceptedAt when, in milliseconds since the epoch
 * @param change the change
 * @param digest the digest of the whole snapshot at that version
 * @param diffBase the version before, when another writer states whole versions, whose numbers may
 *     leave gaps; empty when the change made the next version
 */
public record VersionedChange(
    long version,
    long acceptedAt,
    ConfigurationChange change,
    Digest digest,
    OptionalLong diffBase) {

  // -- construction

  public VersionedChange {
    requireNonNull(change, "change is null");
    requireNonNull(digest, "digest is null");
    requireNonNull(diffBase, "diffBase is null");
  }

  /** Creates a change that made the next version. */
  public VersionedChange(long version, long acceptedAt, ConfigurationChange change, Digest digest) {
    this(version, acceptedAt, change, digest, OptionalLong.empty());
  }

  // -- queries

  /** Returns the version that the change follows. */
  public long previousVersion() {
    return diffBase.orElse(version - 1);
  }

  /**
   * Makes the version of this change.
   *
   * @param held the version that the change follows
   * @return the version, or every violation in it
   */
  public Either<List<Violation>, Configuration> applyTo(Configuration held) {
    requireNonNull(held, "held is null");
    return diffBase.isPresent() ? held.withDifference(version, change) : held.apply(change);
  }
}
