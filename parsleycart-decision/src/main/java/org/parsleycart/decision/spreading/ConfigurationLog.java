package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Stream;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.EncodedSnapshot;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Digest;
import org.parsleycart.model.Recency;
import org.parsleycart.model.Violation;

/**
 * The configuration in force at one daemon and the recent changes that led to it.
 *
 * <p>A version takes effect atomically as an immutable snapshot, and only if its digest matches. A
 * version no more {@linkplain Recency recent} than the one in force never takes effect.
 * Thread-safe: each read sees one consistent state, and updates are serialized.
 */
public final class ConfigurationLog {
  /** The number of changes kept for peers that lag. Peers that need older ones get a snapshot. */
  static final int MAXIMUM_KEPT_CHANGES = 256;

  /** The number of answers kept for peers that hold the same version as one before them. */
  private static final int MAXIMUM_KEPT_ANSWERS = 8;

  private final Function<Configuration, Digest> digester;
  private volatile State state;
  private volatile Recency readThrough = Recency.NONE;

  /** Answers to peers are built once for each version that a peer holds. */
  private record State(
      Configuration configuration,
      Digest digest,
      List<VersionedChange> changes,
      Map<Long, ConfigurationAnswer> answers) {

    State(Configuration configuration, Digest digest, List<VersionedChange> changes) {
      this(configuration, digest, changes, new ConcurrentHashMap<>());
    }
  }

  // -- construction

  private ConfigurationLog(Configuration configuration, Function<Configuration, Digest> digester) {
    this.digester = digester;
    this.state = new State(configuration, digester.apply(configuration), List.of());
  }

  /** Returns a log that holds version 0. */
  public static ConfigurationLog empty() {
    return empty(Configuration::digest);
  }

  /** Returns a log that holds version 0 and computes digests with the given function. */
  static ConfigurationLog empty(Function<Configuration, Digest> digester) {
    return new ConfigurationLog(
        Configuration.empty(), requireNonNull(digester, "digester is null"));
  }

  // -- queries

  /** Returns the configuration in force. */
  public Configuration current() {
    return state.configuration();
  }

  /** Returns the head to announce to peers. */
  public ConfigurationHead head() {
    return headOf(state);
  }

  /** Returns the digest of the configuration in force. */
  public Digest digest() {
    return state.digest();
  }

  /** Returns the kept changes, oldest first. */
  public List<VersionedChange> recentChanges() {
    return state.changes();
  }

  /**
   * Answers a request for missing changes. The answer carries the changes if all of them are kept,
   * else a snapshot, and neither when the peer is up to date.
   */
  public ConfigurationAnswer answer(ConfigurationRequest request) {
    requireNonNull(request, "request is null");
    State current = state;
    if (request.afterVersion() >= current.configuration().version()) {
      return new ConfigurationAnswer(headOf(current), List.of(), Optional.empty());
    }
    boolean isKept =
        current.answers().size() < MAXIMUM_KEPT_ANSWERS
            || current.answers().containsKey(request.afterVersion());
    return isKept
        ? current
            .answers()
            .computeIfAbsent(request.afterVersion(), after -> missingAfter(after, current))
        : missingAfter(request.afterVersion(), current);
  }

  private static ConfigurationAnswer missingAfter(long afterVersion, State current) {
    ConfigurationHead head = headOf(current);
    List<VersionedChange> missing =
        current.changes().stream().filter(change -> change.version() > afterVersion).toList();
    boolean isComplete =
        afterVersion >= 0 && !missing.isEmpty() && missing.get(0).previousVersion() == afterVersion;
    return isComplete
        ? new ConfigurationAnswer(head, missing, Optional.empty())
        : new ConfigurationAnswer(
            head, List.of(), Optional.of(EncodedSnapshot.of(current.configuration().toBytes())));
  }

  /**
   * Returns up to where nothing is missing: the configuration in force, or a more recent one up to
   * which the platform was read.
   */
  public Recency readThrough() {
    return Recency.newest(readThrough, state.configuration().recency());
  }

  private static ConfigurationHead headOf(State state) {
    return ConfigurationHead.of(state.configuration(), state.digest());
  }

  // -- updates

  /**
   * Applies the answer of a peer or of the platform.
   *
   * <p>Diffs between complete versions take effect together, as one version: applying a version
   * takes time in proportion to the whole configuration, and more versions may follow meanwhile.
   *
   * @return the number of versions by which the log advanced, or the error that stopped the update;
   *     versions before the failed one stay in force, except that diffs take effect all or not at
   *     all
   */
  public synchronized Either<ConfigurationUpdateError, Integer> receive(
      ConfigurationAnswer answer) {
    requireNonNull(answer, "answer is null");
    if (answer.snapshot().isPresent()) {
      return receiveSnapshot(answer.head(), answer.snapshot().get());
    }
    return answer.changes().stream().allMatch(VersionedChange::isDiff)
        ? appendDiffs(answer.changes())
        : appendEach(answer.changes());
  }

  private Either<ConfigurationUpdateError, Integer> appendDiffs(List<VersionedChange> diffs) {
    State current = state;
    List<VersionedChange> due = diffs.stream().filter(this::isDue).toList();
    if (due.isEmpty()) {
      return Either.right(0);
    }
    long version = current.configuration().version();
    for (VersionedChange diff : due) {
      if (diff.previousVersion() != version) {
        return Either.left(new ConfigurationUpdateError.Gap(version + 1, diff.version()));
      }
      version = diff.version();
    }
    return due.stream()
        .reduce(VersionedChange::followedBy)
        .get()
        .applyTo(current.configuration())
        .mapLeft(violations -> invalid(due.get(due.size() - 1), violations))
        .flatMap(next -> install(next, due, current.changes()));
  }

  private Either<ConfigurationUpdateError, Integer> appendEach(List<VersionedChange> changes) {
    int applied = 0;
    for (VersionedChange change : changes) {
      Either<ConfigurationUpdateError, Boolean> result = append(change);
      if (result.isLeft()) {
        return Either.left(result.getLeft());
      }
      applied += result.get() ? 1 : 0;
    }
    return Either.right(applied);
  }

  /**
   * Returns whether a change leads to a version that is neither in force nor was read from the
   * platform. A change never lowers the generation.
   */
  private boolean isDue(VersionedChange change) {
    long generation = state.configuration().recency().generation();
    return new Recency(generation, change.version()).isNewerThan(readThrough());
  }

  /**
   * Installs a complete version that another writer published on the platform.
   *
   * @param published the complete version
   * @param platformReadThrough up to where the platform was read; changes from peers up to it are
   *     ignored
   * @return whether it took effect; false when it is not newer than the version in force
   */
  public synchronized boolean applyPublished(Configuration published, Recency platformReadThrough) {
    requireNonNull(published, "published is null");
    boolean isNewer = published.recency().isNewerThan(state.configuration().recency());
    if (isNewer) {
      Digest digest = digester.apply(published);
      state = new State(published, digest, changesWithDiffTo(published, digest));
    }
    recordReadThrough(platformReadThrough);
    return isNewer;
  }

  /**
   * Returns the kept changes followed by the diff from the configuration in force to the published
   * one. The result is empty at version 0, because peers then need a snapshot.
   */
  private List<VersionedChange> changesWithDiffTo(Configuration published, Digest digest) {
    Configuration inForce = state.configuration();
    if (inForce.version() == 0) {
      return List.of();
    }
    ConfigurationChange difference = ConfigurationChange.between(inForce, published);
    return appendBounded(
        state.changes(),
        List.of(
            new VersionedChange(
                published.version(), 0, difference, digest, OptionalLong.of(inForce.version()))));
  }

  /** Records up to where the platform was read. Changes from peers up to there are ignored. */
  public synchronized void recordReadThrough(Recency platformReadThrough) {
    readThrough = Recency.newest(readThrough, platformReadThrough);
  }

  /**
   * Applies one accepted change.
   *
   * @return whether it took effect; false when its version is in force or was already read
   */
  public synchronized Either<ConfigurationUpdateError, Boolean> append(VersionedChange accepted) {
    requireNonNull(accepted, "accepted is null");
    State current = state;
    long version = current.configuration().version();
    if (!isDue(accepted)) {
      return Either.right(false);
    }
    if (accepted.previousVersion() != version) {
      return Either.left(new ConfigurationUpdateError.Gap(version + 1, accepted.version()));
    }
    return accepted
        .applyTo(current.configuration())
        .mapLeft(violations -> invalid(accepted, violations))
        .flatMap(next -> install(next, List.of(accepted), current.changes()))
        .map(installed -> true);
  }

  private static ConfigurationUpdateError invalid(
      VersionedChange change, List<Violation> violations) {
    return new ConfigurationUpdateError.Invalid(change.version(), violations);
  }

  /** Puts a version in force if it has the digest of the last of the changes that led to it. */
  private Either<ConfigurationUpdateError, Integer> install(
      Configuration next, List<VersionedChange> applied, List<VersionedChange> kept) {
    Digest digest = digester.apply(next);
    if (!digest.equals(applied.get(applied.size() - 1).digest())) {
      return Either.left(new ConfigurationUpdateError.DigestMismatch(next.version()));
    }
    state = new State(next, digest, appendBounded(kept, applied));
    return Either.right(applied.size());
  }

  private static List<VersionedChange> appendBounded(
      List<VersionedChange> kept, List<VersionedChange> newest) {
    List<VersionedChange> changes = Stream.concat(kept.stream(), newest.stream()).toList();
    return List.copyOf(
        changes.subList(Math.max(0, changes.size() - MAXIMUM_KEPT_CHANGES), changes.size()));
  }

  /**
   * Applies a complete snapshot if its digest matches the given head. Returns 1 when it took effect
   * and 0 when it is not newer.
   */
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
          if (!configuration.recency().isNewerThan(readThrough())) {
            return 0;
          }
          state = new State(configuration, digest, List.of());
          return 1;
        });
  }
}
