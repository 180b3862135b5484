package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.PlatformError;

/** The duty that waits at the platform for new versions, when the platform lets readers wait. */
public final class FeedDuty {
  /**
   * How long a read waits for news. A connection that went silent is noticed after this time and
   * the timeout of a call, which together stay within the three seconds after which a daemon counts
   * as in touch with the platform again.
   */
  private static final Duration WAIT = Duration.ofMillis(1800);

  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(50);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

  private final ConfigurationAuthority authority;
  private final PlatformDuty platform;
  private final RandomGenerator random;
  private final DutyLoop loop;
  private Duration pause = SHORTEST_PAUSE;

  // -- construction

  /** Creates the duty; {@link #start} starts its thread. */
  public FeedDuty(ConfigurationAuthority authority, PlatformDuty platform, RandomGenerator random) {
    this.authority = requireNonNull(authority, "authority is null");
    this.platform = requireNonNull(platform, "platform is null");
    this.random = requireNonNull(random, "random is null");
    this.loop = new DutyLoop("feed", this::step);
  }

  /** Starts the thread, unless the platform lets nobody wait. */
  public void start() {
    if (authority.isWaiting()) {
      loop.start();
    }
  }

  /** Stops the thread. */
  public void stop() {
    loop.stop();
  }

  // -- operation

  private void step() {
    Either<PlatformError, Integer> result = authority.catchUp(WAIT);
    platform.platformRead(result);
    if (result.isRight()) {
      pause = SHORTEST_PAUSE;
      return;
    }
    long nanoseconds = pause.toNanos();
    LockSupport.parkNanos(nanoseconds / 2 + random.nextLong(nanoseconds));
    Duration doubled = pause.multipliedBy(2);
    pause = doubled.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : doubled;
  }
}
