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
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.OutgoingMessage;

/**
 * Decides which peer to ask for missing versions, one pull at a time.
 *
 * <p>A peer that fails or has nothing newer is forgotten until it announces a head again. After a
 * failure the next peer is asked following a short jittered pause, so that the time to catch up is
 * not a whole repair interval. Used by one thread.
 */
public final class PullPlanner {
  /** How many peers with newer heads are remembered. */
  static final int REMEMBERED_PEERS = 16;

  /** After this time without an answer a pull counts as failed. */
  public static final Duration PULL_TIMEOUT = Duration.ofMillis(1500);

  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(20);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(640);

  private final String self;
  private final RandomGenerator random;
  private final LongSupplier knownThrough;
  private final Supplier<Duration> patience;
  private final Map<String, ConfigurationHead> peersAhead = new HashMap<>();
  private Optional<Pull> inFlight = Optional.empty();
  private Instant notBefore = Instant.MIN;
  private Duration pause = SHORTEST_PAUSE;
  private volatile Optional<Instant> behindSince = Optional.empty();
  private boolean wholeSnapshotNeeded;

  private record Pull(String peer, Instant startedAt) {}

  // -- construction

  /** Creates a planner for the daemon with the given identifier. */
  public PullPlanner(String self, RandomGenerator random) {
    this(self, random, () -> 0, () -> Duration.ZERO);
  }

  /**
   * Creates a planner for a daemon that also reads the platform itself.
   *
   * @param self the identifier of the daemon
   * @param random the source of choices
   * @param knownThrough gives the version up to which nothing is missing, whatever peers announce
   * @param patience how long the daemon's own reading may take before peers are asked; nothing
   *     while it reads nothing
   */
  public PullPlanner(
      String self, RandomGenerator random, LongSupplier knownThrough, Supplier<Duration> patience) {
    this.self = requireNonNull(self, "self is null");
    this.random = requireNonNull(random, "random is null");
    this.knownThrough = requireNonNull(knownThrough, "knownThrough is null");
    this.patience = requireNonNull(patience, "patience is null");
  }

  // -- events

  /** Notes the head that a peer announced. */
  public void recordHead(String peer, ConfigurationHead head, ConfigurationHead own) {
    boolean ahead = head.version() > Math.max(own.version(), knownThrough.getAsLong());
    boolean diverged = head.version() == own.version() && !head.digest().equals(own.digest());
    if (!ahead && !diverged) {
      peersAhead.remove(peer);
    } else if (ahead && (peersAhead.size() < REMEMBERED_PEERS || peersAhead.containsKey(peer))) {
      peersAhead.put(peer, head);
    }
  }

  /** Notes that the pull was answered and whether the answer took effect. */
  public void recordAnswer(boolean usable, Instant now) {
    if (usable) {
      wholeSnapshotNeeded = false;
      pause = SHORTEST_PAUSE;
      inFlight = Optional.empty();
    } else {
      wholeSnapshotNeeded = true;
      recordFailure(now);
    }
  }

  /** Notes that the pull failed or went unanswered. */
  public void recordFailure(Instant now) {
    inFlight.map(Pull::peer).ifPresent(peersAhead::remove);
    inFlight = Optional.empty();
    notBefore = now.plusMillis(random.nextLong(pause.toMillis()) + 1);
    pause =
        pause.multipliedBy(2).compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause.multipliedBy(2);
  }

  // -- decision

  /** Returns the pull to send now, if any. */
  public Optional<OutgoingMessage> nextPull(ConfigurationHead own, Instant now) {
    inFlight
        .filter(pull -> pull.startedAt().plus(PULL_TIMEOUT).isBefore(now))
        .ifPresent(pull -> recordFailure(now));
    long known = Math.max(own.version(), knownThrough.getAsLong());
    peersAhead.values().removeIf(head -> head.version() <= known);
    if (peersAhead.isEmpty()) {
      behindSince = Optional.empty();
      return Optional.empty();
    }
    behindSince = behindSince.or(() -> Optional.of(now));
    boolean waiting =
        now.isBefore(notBefore) || now.isBefore(behindSince.get().plus(patience.get()));
    if (inFlight.isPresent() || waiting) {
      return Optional.empty();
    }
    String peer = choosePeer();
    inFlight = Optional.of(new Pull(peer, now));
    long after = wholeSnapshotNeeded ? -1 : own.version();
    return Optional.of(new OutgoingMessage(peer, new ConfigurationRequest(self, after)));
  }

  private String choosePeer() {
    long newest =
        peersAhead.values().stream()
            .max(Comparator.comparing(ConfigurationHead::version))
            .get()
            .version();
    List<String> candidates = new ArrayList<>();
    peersAhead.forEach(
        (peer, head) -> {
          if (head.version() == newest) {
            candidates.add(peer);
          }
        });
    return candidates.get(random.nextInt(candidates.size()));
  }

  // -- queries

  /** Returns since when some peer has been known to hold a newer version; for any thread. */
  public Optional<Instant> behindSince() {
    return behindSince;
  }

  /** Returns whether some peer is known to hold a newer version. */
  public boolean isBehind() {
    return !peersAhead.isEmpty();
  }
}
