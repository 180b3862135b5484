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
 * An accepted change with the configuration version that it created.
 *
 * @param acceptedAt the time of acceptance in milliseconds since the epoch, 0 for a diff between
 *     two complete versions
 * @param digest the digest of the complete snapshot at that version
 * @param diffBase the older version of a diff between two complete versions, whose numbers may
 *     leave gaps; empty when the change created the next version
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

  /** Creates a change that increased the version by one. */
  public VersionedChange(long version, long acceptedAt, ConfigurationChange change, Digest digest) {
    this(version, acceptedAt, change, digest, OptionalLong.empty());
  }

  // -- queries

  /** Returns whether this is a diff between two complete versions. */
  public boolean isDiff() {
    return diffBase.isPresent();
  }

  /** Returns the version to which the change applies. */
  public long previousVersion() {
    return diffBase.orElse(version - 1);
  }

  /**
   * Returns the diff that has the effect of this diff and then of the next one.
   *
   * @param next a diff whose {@linkplain #previousVersion() previous version} is this version
   */
  public VersionedChange followedBy(VersionedChange next) {
    requireNonNull(next, "next is null");
    return new VersionedChange(
        next.version(),
        next.acceptedAt(),
        change.followedBy(next.change()),
        next.digest(),
        diffBase);
  }

  /**
   * Applies this change to a configuration.
   *
   * @param base the configuration at the {@linkplain #previousVersion() previous version}
   * @return the configuration at the version of this change, or all violations in it
   */
  public Either<List<Violation>, Configuration> applyTo(Configuration base) {
    requireNonNull(base, "base is null");
    return isDiff() ? base.withDifference(version, change) : base.apply(change);
  }
}
