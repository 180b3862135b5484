package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.Failure;
import org.parsleycart.decision.message.ControlMessage.InForceAnswer;
import org.parsleycart.decision.message.ControlMessage.InForceRequest;
import org.parsleycart.link.FrameClient;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.Threads;

/**
 * Finds out at how many daemons a version is in force, over a tree: each daemon asks a bounded
 * number of others, which ask the rest.
 *
 * <p>A daemon that does not answer counts as silent, never as in force; the members behind it are
 * asked through the next one.
 */
public final class InForceSurvey {
  private static final int FANOUT = 8;
  private static final int MOST_NAMED = 20;
  private static final int MOST_SURVEYS_OF_PEERS = 2;
  private static final int WAITING_QUESTIONS = 64;
  private static final Duration LONGEST_TIMEOUT = Duration.ofSeconds(30);

  private final MeshState state;
  private final FrameClient client;
  private final ThreadPoolExecutor asking;
  private final Semaphore surveysOfPeers = new Semaphore(MOST_SURVEYS_OF_PEERS);

  // -- construction

  /** Creates the survey. */
  public InForceSurvey(MeshState state, FrameClient client) {
    this.state = requireNonNull(state, "state is null");
    this.client = requireNonNull(client, "client is null");
    this.asking =
        new ThreadPoolExecutor(
            FANOUT,
            FANOUT,
            1,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(WAITING_QUESTIONS),
            task -> Threads.newDaemonThread("surveying", task));
    asking.allowCoreThreadTimeOut(true);
  }

  // -- operation

  /**
   * Answers another daemon, unless enough surveys wait for others already, so that pulls and
   * evidence are still answered.
   */
  public ControlMessage answerPeer(InForceRequest request) {
    if (!surveysOfPeers.tryAcquire()) {
      return new Failure("too many surveys");
    }
    try {
      return answer(request);
    } finally {
      surveysOfPeers.release();
    }
  }

  /** Answers for this daemon and for the members that the request gives to it. */
  public InForceAnswer answer(InForceRequest request) {
    requireNonNull(request, "request is null");
    boolean here = state.configuration().version() >= request.version();
    InForceAnswer own = new InForceAnswer(here ? 1 : 0, here ? 0 : 1, 0, List.of());
    long timeout = Math.min(request.timeoutMilliseconds(), LONGEST_TIMEOUT.toMillis());
    List<CompletableFuture<InForceAnswer>> parts =
        split(request.members()).stream()
            .map(part -> ask(request.version(), part, Duration.ofMillis(timeout)))
            .toList();
    return Stream.concat(Stream.of(own), parts.stream().map(CompletableFuture::join))
        .reduce(InForceSurvey::plus)
        .orElse(own);
  }

  private CompletableFuture<InForceAnswer> ask(long version, List<String> part, Duration timeout) {
    try {
      return CompletableFuture.supplyAsync(() -> askFirst(version, part, timeout), asking);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(silent(part));
    }
  }

  private InForceAnswer askFirst(long version, List<String> part, Duration timeout) {
    long deadline = System.nanoTime() + timeout.toNanos();
    InForceAnswer result = new InForceAnswer(0, 0, 0, List.of());
    for (int index = 0; index < part.size(); index++) {
      Duration remaining = Duration.ofNanos(deadline - System.nanoTime());
      List<String> rest = part.subList(index + 1, part.size());
      if (remaining.isNegative()) {
        return plus(result, silent(part.subList(index, part.size())));
      }
      Either<LinkError, ControlMessage> answer =
          client.send(
              part.get(index),
              new InForceRequest(version, rest, remaining.toMillis() / 2),
              remaining);
      if (answer.isRight() && answer.get() instanceof InForceAnswer received) {
        return plus(result, named(received, part.get(index)));
      }
      result = plus(result, silent(List.of(part.get(index))));
    }
    return result;
  }

  /** Names the member that answered when it is itself the one that lags. */
  private static InForceAnswer named(InForceAnswer answer, String member) {
    boolean lags = answer.lagging() > answer.examples().size() && answer.examples().isEmpty();
    return lags
        ? new InForceAnswer(
            answer.inForce(), answer.lagging(), answer.unresponsive(), List.of(member))
        : answer;
  }

  private static InForceAnswer silent(List<String> members) {
    return new InForceAnswer(0, 0, members.size(), members.stream().limit(MOST_NAMED).toList());
  }

  private static InForceAnswer plus(InForceAnswer one, InForceAnswer other) {
    return new InForceAnswer(
        one.inForce() + other.inForce(),
        one.lagging() + other.lagging(),
        one.unresponsive() + other.unresponsive(),
        Stream.concat(one.examples().stream(), other.examples().stream())
            .limit(MOST_NAMED)
            .toList());
  }

  private static List<List<String>> split(List<String> members) {
    int parts = Math.min(FANOUT, members.size());
    return IntStream.range(0, parts)
        .mapToObj(
            part -> {
              List<String> chosen = new ArrayList<>();
              for (int index = part; index < members.size(); index += parts) {
                chosen.add(members.get(index));
              }
              return (List<String>) chosen;
            })
        .toList();
  }
}
