package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.UsageAnswer;
import org.parsleycart.decision.message.ControlMessage.UsageRequest;
import org.parsleycart.decision.usage.ClockAgreement;
import org.parsleycart.decision.usage.ClockReading;
import org.parsleycart.decision.usage.DaemonUsage;
import org.parsleycart.decision.usage.ExpectedDaemons;
import org.parsleycart.decision.usage.GatheredUsage;
import org.parsleycart.decision.usage.UsageWindows;
import org.parsleycart.decision.usage.WindowCounts;
import org.parsleycart.link.FrameClient;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.Threads;
import org.tinylog.Logger;

/**
 * Asks the daemons for their counts and merges the answers. A few threads of its own wait for the
 * answers; all methods are called by one thread.
 */
final class UsageGathering {
  private static final int ASKING_THREADS = 4;
  private static final int MAXIMUM_QUEUED_REQUESTS = 8192;
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

  /** A daemon that did not answer is asked again after this time. */
  private static final long REPEAT_MILLISECONDS = 700;

  private static final long CLOCK_CHECK_MILLISECONDS = 5000;
  private static final int CHECKED_CLOCKS = 7;

  private final UsageWindows windows;
  private final LocalUsage localUsage;
  private final FrameClient frameClient;
  private final Supplier<ClockReading> clocks;
  private final ThreadPoolExecutor executor;
  private final ExpectedDaemons expected;
  private final ConcurrentLinkedQueue<Reply> replies = new ConcurrentLinkedQueue<>();
  private final Set<String> asked = new HashSet<>();
  private final Map<String, Long> askedAt = new HashMap<>();
  private long checkedClocksAt = Long.MIN_VALUE / 2;
  private int presentDaemons;
  private GatheredUsage gathered = new GatheredUsage();
  private ClockAgreement agreement = new ClockAgreement();

  private record Reply(
      String daemon,
      Set<Long> windows,
      ClockReading sentAt,
      ClockReading receivedAt,
      Either<LinkError, ControlMessage> answer) {}

  // -- construction

  /** Creates a gathering that expects counts of daemons seen within the retention. */
  UsageGathering(
      UsageWindows windows,
      Duration retention,
      LocalUsage localUsage,
      FrameClient frameClient,
      Supplier<ClockReading> clocks) {
    this.windows = requireNonNull(windows, "windows is null");
    this.localUsage = requireNonNull(localUsage, "localUsage is null");
    this.frameClient = requireNonNull(frameClient, "frameClient is null");
    this.clocks = requireNonNull(clocks, "clocks is null");
    this.expected = new ExpectedDaemons(retention);
    this.executor =
        new ThreadPoolExecutor(
            ASKING_THREADS,
            ASKING_THREADS,
            1,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MAXIMUM_QUEUED_REQUESTS),
            task ->
                Threads.newPoolThread(
                    "usage-gathering",
                    task,
                    (thread, cause) -> Logger.error(cause, "request for usage counts failed")));
    executor.allowCoreThreadTimeOut(true);
  }

  // -- operations

  /** Records the members that are present. */
  void observe(Collection<String> present, Instant now) {
    expected.observe(present, now);
  }

  /** Forgets what an earlier turn as the holder gathered. */
  void restart() {
    gathered = new GatheredUsage();
    askedAt.clear();
    restartClockCheck();
  }

  /** Compares the wall clocks anew, as after a step of that of this daemon. */
  void restartClockCheck() {
    agreement = new ClockAgreement();
    checkedClocksAt = Long.MIN_VALUE / 2;
  }

  /** Asks a few daemons for their wall clocks from time to time, also while no window has ended. */
  void checkClocks(ClockReading now) {
    if (now.boot() - checkedClocksAt < CLOCK_CHECK_MILLISECONDS) {
      return;
    }
    checkedClocksAt = now.boot();
    Instant recently = Instant.ofEpochMilli(now.wall() - CLOCK_CHECK_MILLISECONDS);
    Set<String> present = expected.presentSince(recently);
    presentDaemons = present.size();
    present.stream().sorted().limit(CHECKED_CLOCKS).forEach(daemon -> ask(daemon, Set.of(), now));
  }

  /** Merges the answers that have arrived and asks the daemons whose counts are missing. */
  void gather(List<Long> requested, ClockReading now) {
    Reply reply = replies.poll();
    while (reply != null) {
      apply(reply);
      reply = replies.poll();
    }
    if (!requested.isEmpty()) {
      Set<Long> wanted = Set.copyOf(requested);
      gathered.merge(localUsage.of(wanted), wanted);
      Map<String, Set<Long>> missing = new HashMap<>();
      wanted.forEach(
          window ->
              missing(window)
                  .forEach(
                      daemon ->
                          missing.computeIfAbsent(daemon, added -> new HashSet<>()).add(window)));
      missing.forEach((daemon, each) -> ask(daemon, Set.copyOf(each), now));
    }
  }

  private void apply(Reply reply) {
    asked.remove(reply.daemon());
    reply
        .answer()
        .peek(
            message -> {
              if (message instanceof UsageAnswer answer) {
                gathered.merge(answer.usage(), reply.windows());
                agreement.record(
                    reply.daemon(),
                    reply.sentAt().wall(),
                    reply.receivedAt().wall(),
                    answer.wallMilliseconds());
              }
            });
  }

  private void ask(String daemon, Set<Long> wanted, ClockReading now) {
    boolean isDue = now.boot() - askedAt.getOrDefault(daemon, 0L) >= REPEAT_MILLISECONDS;
    if (!isDue || asked.contains(daemon)) {
      return;
    }
    try {
      executor.execute(() -> send(daemon, wanted));
      asked.add(daemon);
      askedAt.put(daemon, now.boot());
    } catch (RejectedExecutionException e) {
      Logger.debug("usage counts of {} are asked for later: too many requests wait", daemon);
    }
  }

  private void send(String daemon, Set<Long> wanted) {
    ClockReading sentAt = clocks.get();
    Either<LinkError, ControlMessage> answer =
        frameClient.send(daemon, new UsageRequest(List.copyOf(wanted)), ANSWER_TIMEOUT);
    replies.add(new Reply(daemon, wanted, sentAt, clocks.get(), answer));
  }

  /** Merges the stored counts of a daemon that has stopped. */
  void mergeDeparted(DaemonUsage usage, List<Long> requested) {
    gathered.merge(usage, Set.copyOf(requested));
  }

  void forgetThrough(long window) {
    gathered.forgetThrough(window);
  }

  // -- queries

  /** Returns the daemons that were members during a window and whose counts are missing. */
  List<String> missing(long window) {
    return gathered.missing(window, expected.presentSince(windows.startOf(window)));
  }

  WindowCounts sums(long window) {
    return gathered.sums(window);
  }

  /** Returns whether enough daemons have answered to judge the wall clock of this one. */
  boolean isClockChecked() {
    return agreement.isConclusive(presentDaemons);
  }

  /** Returns whether the wall clock of this daemon differs from most others. */
  boolean isClockDeviating() {
    return agreement.isDeviating();
  }

  long medianClockOffset() {
    return agreement.medianOffset();
  }
}
