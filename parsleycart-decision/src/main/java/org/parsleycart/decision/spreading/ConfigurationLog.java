package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.EncodedSnapshot;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Digest;

/**
 * The configuration in force at one daemon and the recent changes that led to it.
 *
 * <p>A version takes effect as one immutable snapshot and only when its digest matches; a version
 * at or below the one in force never does. Reads from any thread see one state; updates from
 * several threads are serialized.
 */
public final class ConfigurationLog {
  /** How many changes are kept for peers that lag; older ones are served as a snapshot. */
  static final int KEPT_CHANGES = 256;

  private volatile State state;
  private volatile long knownThrough;

  private record State(Configuration configuration, Digest digest, List<VersionedChange> changes) {}

  // -- construction

  private ConfigurationLog(Configuration configuration) {
    this.state = new State(configuration, configuration.digest(), List.of());
  }

  /** Returns a log that holds version 0. */
  public static ConfigurationLog empty() {
    return new ConfigurationLog(Configuration.empty());
  }

  // -- queries

  /** Returns the configuration in force. */
  public Configuration current() {
    return state.configuration();
  }

  /** Returns the head to announce. */
  public ConfigurationHead head() {
    return headOf(state);
  }

  /** Returns the digest of the configuration in force. */
  public Digest digest() {
    return state.digest();
  }

  /** Returns the changes kept, oldest first. */
  public List<VersionedChange> recentChanges() {
    return state.changes();
  }

  /** Answers a peer that asks for what it lacks. */
  public ConfigurationAnswer answer(ConfigurationRequest request) {
    requireNonNull(request, "request is null");
    State now = state;
    ConfigurationHead head = headOf(now);
    if (request.afterVersion() >= now.configuration().version()) {
      return new ConfigurationAnswer(head, List.of(), Optional.empty());
    }
    List<VersionedChange> missing =
        now.changes().stream().filter(each -> each.version() > request.afterVersion()).toList();
    boolean complete =
        request.afterVersion() >= 0
            && !missing.isEmpty()
            && missing.get(0).previousVersion() == request.afterVersion();
    return complete
        ? new ConfigurationAnswer(head, missing, Optional.empty())
        : new ConfigurationAnswer(
            head, List.of(), Optional.of(EncodedSnapshot.of(now.configuration().toBytes())));
  }

  /** Returns the version up to which the platform was read here, whether or not it changed. */
  public long readThroughVersion() {
    return Math.max(knownThrough, state.configuration().version());
  }

  private static ConfigurationHead headOf(State state) {
    String digest = state.digest().hexadecimal().substring(0, ConfigurationHead.DIGEST_DIGITS);
    return new ConfigurationHead(state.configuration().version(), digest);
  }

  // -- updates

  /**
   * Takes what a peer or the platform answered.
   *
   * @param answer the answer
   * @return the number of versions that took effect, or why none or only the first of them did
   */
  public synchronized Either<ConfigurationUpdateError, Integer> receive(
      ConfigurationAnswer answer) {
    requireNonNull(answer, "answer is null");
    if (answer.snapshot().isPresent()) {
      return receiveSnapshot(answer.head(), answer.snapshot().get());
    }
    int applied = 0;
    for (VersionedChange change : answer.changes()) {
      Either<ConfigurationUpdateError, Boolean> result = append(change);
      if (result.isLeft()) {
        return Either.left(result.getLeft());
      }
      applied += result.get() ? 1 : 0;
    }
    return Either.right(applied);
  }

  /**
   * Takes a version that another writer stated as a whole.
   *
   * @param stated the version
   * @param readThrough the version up to which the platform was read; what peers hold up to there
   *     is no news
   * @return whether it took effect; false when it is not above the version in force
   */
  public synchronized boolean applyPublished(Configuration stated, long readThrough) {
    requireNonNull(stated, "stated is null");
    boolean isNews = stated.version() > state.configuration().version();
    if (isNews) {
      Digest digest = stated.digest();
      state = new State(stated, digest, changesWithDiffTo(stated, digest));
    }
    recordReadThrough(readThrough);
    return isNews;
  }

  /** Returns the changes for peers, with the one to a version that was stated as a whole. */
  private List<VersionedChange> changesWithDiffTo(Configuration stated, Digest digest) {
    Configuration held = state.configuration();
    if (held.version() == 0) {
      return List.of();
    }
    ConfigurationChange difference = ConfigurationChange.between(held, stated);
    return appendBounded(
        state.changes(),
        new VersionedChange(
            stated.version(), 0, difference, digest, OptionalLong.of(held.version())));
  }

  /** Takes note that the platform was read up to a version and held nothing new. */
  public synchronized void recordReadThrough(long readThrough) {
    knownThrough = Math.max(knownThrough, readThrough);
  }

  /**
   * Takes one accepted change.
   *
   * @param accepted the change
   * @return whether it took effect; false when its version is in force already
   */
  public synchronized Either<ConfigurationUpdateError, Boolean> append(VersionedChange accepted) {
    requireNonNull(accepted, "accepted is null");
    State held = state;
    long version = held.configuration().version();
    if (accepted.version() <= Math.max(version, knownThrough)) {
      return Either.right(false);
    }
    if (accepted.previousVersion() != version) {
      return Either.left(new ConfigurationUpdateError.Gap(version + 1, accepted.version()));
    }
    return accepted
        .applyTo(held.configuration())
        .mapLeft(
            violations ->
                (ConfigurationUpdateError)
                    new ConfigurationUpdateError.Invalid(accepted.version(), violations))
        .flatMap(next -> install(next, accepted, held.changes()));
  }

  private Either<ConfigurationUpdateError, Boolean> install(
      Configuration next, VersionedChange accepted, List<VersionedChange> kept) {
    Digest digest = next.digest();
    if (!digest.equals(accepted.digest())) {
      return Either.left(new ConfigurationUpdateError.DigestMismatch(next.version()));
    }
    state = new State(next, digest, appendBounded(kept, accepted));
    return Either.right(true);
  }

  private static List<VersionedChange> appendBounded(
      List<VersionedChange> kept, VersionedChange newest) {
    List<VersionedChange> changes =
        new ArrayList<>(kept.subList(Math.max(0, kept.size() + 1 - KEPT_CHANGES), kept.size()));
    changes.add(newest);
    return List.copyOf(changes);
  }

  /** Takes a whole snapshot whose head is known from elsewhere. */
  public synchronized Either<ConfigurationUpdateError, Integer> receiveSnapshot(
      ConfigurationHead head, EncodedSnapshot snapshot) {
    byte[] bytes = snapshot.toBytes();
    Digest digest = Digest.of(bytes);
    if (!digest.hexadecimal().startsWith(head.digest())) {
      return Either.left(new ConfigurationUpdateError.DigestMismatch(head.version()));
    }
    Either<ConfigurationUpdateError, Configuration> parsed =
        Configuration.from(bytes).mapLeft(ConfigurationUpdateError.Unreadable::new);
    return parsed.map(
        configuration -> {
          if (configuration.version() <= readThroughVersion()) {
            return 0;
          }
          state = new State(configuration, digest, List.of());
          return 1;
        });
  }
}
