package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.OutgoingMessage;
import org.parsleycart.model.Recency;

/**
 * Decides which peer to ask for missing versions, one pull at a time.
 *
 * <p>A peer that fails or holds nothing newer is removed until it announces a newer head. After a
 * failure the next peer is asked after a short jittered backoff, so that catching up does not take
 * a whole anti-entropy interval. Used by one thread, except for {@link #behindSince}.
 */
public final class PullPlanner {
  /** The maximum number of peers with newer heads to remember. */
  static final int MAXIMUM_REMEMBERED_PEERS = 16;

  /** A pull without an answer within this time counts as failed. */
  public static final Duration PULL_TIMEOUT = Duration.ofMillis(1500);

  private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(20);
  private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(640);

  private final String self;
  private final RandomGenerator random;
  private final Supplier<Recency> readThrough;
  private final Supplier<Duration> ownReadTimeout;
  private final Map<String, ConfigurationHead> peersAhead = new HashMap<>();
  private Optional<Pull> inFlight = Optional.empty();
  private Instant noPullBefore = Instant.MIN;
  private Duration backoff = MINIMUM_BACKOFF;
  private volatile Optional<Instant> behindSince = Optional.empty();
  private boolean isSnapshotNeeded;

  private record Pull(String peer, Instant startedAt) {}

  // -- construction

  /** Creates a planner for a daemon that does not read the platform itself. */
  public PullPlanner(String self, RandomGenerator random) {
    this(self, random, () -> Recency.NONE, () -> Duration.ZERO);
  }

  /**
   * Creates a planner for a daemon that also reads the platform itself.
   *
   * @param self the identifier of the daemon
   * @param readThrough supplies up to where nothing is missing, whatever peers announce
   * @param ownReadTimeout supplies the time that the daemon's own read of the platform may take
   *     before peers are asked, zero while it does not read
   */
  public PullPlanner(
      String self,
      RandomGenerator random,
      Supplier<Recency> readThrough,
      Supplier<Duration> ownReadTimeout) {
    this.self = requireNonNull(self, "self is null");
    this.random = requireNonNull(random, "random is null");
    this.readThrough = requireNonNull(readThrough, "readThrough is null");
    this.ownReadTimeout = requireNonNull(ownReadTimeout, "ownReadTimeout is null");
  }

  // -- events

  /**
   * Records the head that a peer announced. Only peers that hold a newer version are remembered.
   */
  public void recordHead(String peer, ConfigurationHead head, ConfigurationHead ownHead) {
    boolean isAhead = head.recency().isNewerThan(newestHeld(ownHead));
    boolean hasDiverged =
        head.recency().equals(ownHead.recency()) && !head.digest().equals(ownHead.digest());
    if (!isAhead && !hasDiverged) {
      peersAhead.remove(peer);
    } else if (isAhead
        && (peersAhead.size() < MAXIMUM_REMEMBERED_PEERS || peersAhead.containsKey(peer))) {
      peersAhead.put(peer, head);
    }
  }

  /**
   * Records that the pull was answered.
   *
   * @param isUsable whether the answer could be applied; if not, the next pull requests the
   *     complete snapshot
   */
  public void recordAnswer(boolean isUsable, Instant now) {
    if (isUsable) {
      isSnapshotNeeded = false;
      backoff = MINIMUM_BACKOFF;
      inFlight = Optional.empty();
    } else {
      isSnapshotNeeded = true;
      recordFailure(now);
    }
  }

  /** Records that the pull failed or timed out. */
  public void recordFailure(Instant now) {
    inFlight.map(Pull::peer).ifPresent(peersAhead::remove);
    inFlight = Optional.empty();
    noPullBefore = now.plusMillis(random.nextLong(backoff.toMillis()) + 1);
    backoff =
        backoff.multipliedBy(2).compareTo(MAXIMUM_BACKOFF) > 0
            ? MAXIMUM_BACKOFF
            : backoff.multipliedBy(2);
  }

  // -- decision

  /** Returns the pull to send now, or empty when none is due. */
  public Optional<OutgoingMessage> nextPull(ConfigurationHead ownHead, Instant now) {
    inFlight
        .filter(pull -> pull.startedAt().plus(PULL_TIMEOUT).isBefore(now))
        .ifPresent(pull -> recordFailure(now));
    Recency newestHeld = newestHeld(ownHead);
    peersAhead.values().removeIf(head -> !head.recency().isNewerThan(newestHeld));
    if (peersAhead.isEmpty()) {
      behindSince = Optional.empty();
      return Optional.empty();
    }
    behindSince = behindSince.or(() -> Optional.of(now));
    boolean isWaiting =
        now.isBefore(noPullBefore) || now.isBefore(behindSince.get().plus(ownReadTimeout.get()));
    if (inFlight.isPresent() || isWaiting) {
      return Optional.empty();
    }
    String peer = choosePeer();
    inFlight = Optional.of(new Pull(peer, now));
    boolean isOfLaterVersion = peersAhead.get(peer).version() > ownHead.version();
    long afterVersion = isSnapshotNeeded || !isOfLaterVersion ? -1 : ownHead.version();
    return Optional.of(
        new OutgoingMessage(peer, new ConfigurationRequest(self, afterVersion, true)));
  }

  private Recency newestHeld(ConfigurationHead ownHead) {
    return Recency.newest(ownHead.recency(), readThrough.get());
  }

  private String choosePeer() {
    Recency newest =
        peersAhead.values().stream()
            .map(ConfigurationHead::recency)
            .max(Comparator.naturalOrder())
            .get();
    List<String> candidates = new ArrayList<>();
    peersAhead.forEach(
        (peer, head) -> {
          if (head.recency().equals(newest)) {
            candidates.add(peer);
          }
        });
    return candidates.get(random.nextInt(candidates.size()));
  }

  // -- queries

  /**
   * Returns since when a peer has been known to hold a newer version, or empty when none is. Safe
   * to call from any thread.
   */
  public Optional<Instant> behindSince() {
    return behindSince;
  }

  /** Returns whether a peer is known to hold a newer version. */
  public boolean isBehind() {
    return !peersAhead.isEmpty();
  }
}
