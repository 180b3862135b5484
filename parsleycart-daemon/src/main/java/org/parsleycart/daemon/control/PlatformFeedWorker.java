package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.decision.spreading.FeedReadPolicy;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.RevocationPolicy;
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.PlatformError;
import org.tinylog.Logger;

/**
 * Reads new configuration versions from the feed of the platform, if the platform supports long
 * polling.
 *
 * <p>A watcher reads all the time. Every other daemon reads only while gossip does not confirm that
 * its version is the newest.
 */
public final class PlatformFeedWorker {
  /**
   * The duration of a long poll. A stalled connection is detected after this time plus the timeout
   * of a request. Together they stay within the three seconds in which a daemon has to regain
   * contact with the platform.
   */
  private static final Duration LONG_POLL_DURATION = Duration.ofMillis(1800);

  private static final Duration MINIMUM_PAUSE = Duration.ofMillis(50);
  private static final Duration MAXIMUM_WATCHER_PAUSE = Duration.ofMillis(800);

  /**
   * Longer than the pause of a watcher: while the platform fails, retries are left to the watchers.
   */
  private static final Duration MAXIMUM_PAUSE = Duration.ofMillis(2500);

  /** How often a daemon that is not a watcher checks whether it has to read the platform. */
  private static final Duration READ_CHECK_INTERVAL = Duration.ofMillis(250);

  private final ConfigurationAuthority authority;
  private final PlatformWorker platformWorker;
  private final Supplier<MembershipView> members;
  private final Freshness freshness;
  private final RevocationPolicy revocation;
  private final BooleanSupplier isStalled;
  private final AtomicBoolean isWatcher;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final WorkerLoop loop;
  private Duration pause = MINIMUM_PAUSE;
  private Optional<MembershipView> lastView = Optional.empty();

  // -- construction

  /**
   * Creates the worker; {@link #start} starts its thread.
   *
   * @param platformWorker receives the result of each read
   * @param members supplies the known members
   * @param freshness records confirmations and returns the age of the last one
   * @param revocation states how old a confirmation may become
   * @param isStalled returns whether a peer holds a newer version and pulls make no progress
   * @param isWatcher set by this worker to whether this daemon is a watcher
   * @param random jitters the pauses, so that the reads of several daemons spread over time
   * @param health records whether the steps of the worker end with errors
   */
  public PlatformFeedWorker(
      ConfigurationAuthority authority,
      PlatformWorker platformWorker,
      Supplier<MembershipView> members,
      Freshness freshness,
      RevocationPolicy revocation,
      BooleanSupplier isStalled,
      AtomicBoolean isWatcher,
      InstantSource clock,
      RandomGenerator random,
      WorkerHealth health) {
    this.authority = requireNonNull(authority, "authority is null");
    this.platformWorker = requireNonNull(platformWorker, "platformWorker is null");
    this.members = requireNonNull(members, "members is null");
    this.freshness = requireNonNull(freshness, "freshness is null");
    this.revocation = requireNonNull(revocation, "revocation is null");
    this.isStalled = requireNonNull(isStalled, "isStalled is null");
    this.isWatcher = requireNonNull(isWatcher, "isWatcher is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.random = requireNonNull(random, "random is null");
    this.loop = new WorkerLoop("feed", this::step, health);
  }

  /** Starts the thread if the platform supports long polling, otherwise does nothing. */
  public void start() {
    if (authority.isLongPolling()) {
      loop.start();
    }
  }

  /** Stops the worker after its current step. */
  public void stop() {
    loop.stop();
  }

  // -- operation

  private void step() {
    MembershipView view = members.get();
    if (!Optional.of(view).equals(lastView)) {
      lastView = Optional.of(view);
      updateRole(FeedReadPolicy.isWatcher(view.alive().toList(), view.self()));
    }
    if (isWatcher.get()) {
      read(revocation.boundReadInterval(LONG_POLL_DURATION), MAXIMUM_WATCHER_PAUSE);
    } else if (isReadDue(view)) {
      read(Duration.ZERO, MAXIMUM_PAUSE);
    } else {
      pauseWithJitter(READ_CHECK_INTERVAL);
    }
  }

  private boolean isReadDue(MembershipView view) {
    Instant now = clock.instant();
    return FeedReadPolicy.isFallbackReadDue(
        freshness.confirmationAge(now), isStalled.getAsBoolean(), view.size(), revocation);
  }

  private void updateRole(boolean watcherNow) {
    if (isWatcher.getAndSet(watcherNow) != watcherNow) {
      Logger.info(
          watcherNow
              ? "now a watcher of the platform feed"
              : "no longer a watcher of the platform feed");
    }
  }

  private void read(Duration wait, Duration maximumPause) {
    Either<PlatformError, Integer> result = authority.catchUp(wait);
    platformWorker.recordPlatformRead(result);
    if (result.isRight()) {
      freshness.recordConfirmation(clock.instant());
      pause = MINIMUM_PAUSE;
      return;
    }
    pauseWithJitter(pause);
    Duration doubled = pause.multipliedBy(2);
    pause = doubled.compareTo(maximumPause) > 0 ? maximumPause : doubled;
  }

  private void pauseWithJitter(Duration duration) {
    long nanoseconds = duration.toNanos();
    LockSupport.parkNanos(nanoseconds / 2 + random.nextLong(nanoseconds));
  }
}
