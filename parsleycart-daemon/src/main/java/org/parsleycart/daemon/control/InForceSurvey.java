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
import org.tinylog.Logger;

/**
 * Counts the daemons at which a configuration version is in force. The request spreads as a tree:
 * each daemon asks a bounded number of other daemons, and these ask the rest.
 *
 * <p>A daemon that does not answer counts as unresponsive, never as in force. The remaining members
 * of its group are then asked through the next daemon of the group.
 */
public final class InForceSurvey {
  private static final int FANOUT = 8;
  private static final int MAXIMUM_NAMED_MEMBERS = 20;
  private static final int MAXIMUM_PEER_SURVEYS = 2;
  private static final int REQUEST_QUEUE_CAPACITY = 64;
  private static final Duration MAXIMUM_TIMEOUT = Duration.ofSeconds(30);

  private final MeshState state;
  private final FrameClient frameClient;
  private final ThreadPoolExecutor executor;
  private final Semaphore peerSurveyPermits = new Semaphore(MAXIMUM_PEER_SURVEYS);

  // -- construction

  /** Creates a survey, which asks the members of a request on threads of its own. */
  public InForceSurvey(MeshState state, FrameClient frameClient) {
    this.state = requireNonNull(state, "state is null");
    this.frameClient = requireNonNull(frameClient, "frameClient is null");
    this.executor =
        new ThreadPoolExecutor(
            FANOUT,
            FANOUT,
            1,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(REQUEST_QUEUE_CAPACITY),
            task ->
                Threads.newPoolThread(
                    "in-force-survey",
                    task,
                    (thread, cause) -> Logger.error(cause, "survey of another daemon failed")));
    executor.allowCoreThreadTimeOut(true);
  }

  // -- operation

  /**
   * Answers the request of another daemon. Returns a {@link Failure} if too many surveys for other
   * daemons are running, so that threads remain for configuration and evidence requests.
   */
  public ControlMessage answerPeer(InForceRequest request) {
    if (!peerSurveyPermits.tryAcquire()) {
      return new Failure("too many surveys");
    }
    try {
      return answer(request);
    } finally {
      peerSurveyPermits.release();
    }
  }

  /**
   * Surveys this daemon and the members listed in the request. Blocks until every group of members
   * has answered or the timeout of the request has passed.
   */
  public InForceAnswer answer(InForceRequest request) {
    requireNonNull(request, "request is null");
    boolean inForceHere = state.configuration().version() >= request.version();
    InForceAnswer ownAnswer =
        new InForceAnswer(inForceHere ? 1 : 0, inForceHere ? 0 : 1, 0, List.of());
    long timeout = Math.min(request.timeoutMilliseconds(), MAXIMUM_TIMEOUT.toMillis());
    List<CompletableFuture<InForceAnswer>> groupAnswers =
        splitIntoGroups(request.members()).stream()
            .map(group -> askGroup(request.version(), group, Duration.ofMillis(timeout)))
            .toList();
    return Stream.concat(Stream.of(ownAnswer), groupAnswers.stream().map(CompletableFuture::join))
        .reduce(InForceSurvey::sum)
        .orElse(ownAnswer);
  }

  private CompletableFuture<InForceAnswer> askGroup(
      long version, List<String> group, Duration timeout) {
    try {
      return CompletableFuture.supplyAsync(
          () -> askFirstResponsive(version, group, timeout), executor);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(unresponsiveAnswer(group));
    }
  }

  private InForceAnswer askFirstResponsive(long version, List<String> group, Duration timeout) {
    long deadline = System.nanoTime() + timeout.toNanos();
    InForceAnswer result = new InForceAnswer(0, 0, 0, List.of());
    for (int index = 0; index < group.size(); index++) {
      Duration remaining = Duration.ofNanos(deadline - System.nanoTime());
      List<String> rest = group.subList(index + 1, group.size());
      if (remaining.isNegative()) {
        return sum(result, unresponsiveAnswer(group.subList(index, group.size())));
      }
      Either<LinkError, ControlMessage> answer =
          frameClient.send(
              group.get(index),
              new InForceRequest(version, rest, remaining.toMillis() / 2),
              remaining);
      if (answer.isRight() && answer.get() instanceof InForceAnswer received) {
        return sum(result, withLaggingMember(received, group.get(index)));
      }
      result = sum(result, unresponsiveAnswer(List.of(group.get(index))));
    }
    return result;
  }

  /**
   * Adds the name of the answering member if the member itself lags and its answer names no member.
   */
  private static InForceAnswer withLaggingMember(InForceAnswer answer, String member) {
    boolean isLagging = answer.lagging() > answer.examples().size() && answer.examples().isEmpty();
    return isLagging
        ? new InForceAnswer(
            answer.inForce(), answer.lagging(), answer.unresponsive(), List.of(member))
        : answer;
  }

  private static InForceAnswer unresponsiveAnswer(List<String> members) {
    return new InForceAnswer(
        0, 0, members.size(), members.stream().limit(MAXIMUM_NAMED_MEMBERS).toList());
  }

  private static InForceAnswer sum(InForceAnswer first, InForceAnswer second) {
    return new InForceAnswer(
        first.inForce() + second.inForce(),
        first.lagging() + second.lagging(),
        first.unresponsive() + second.unresponsive(),
        Stream.concat(first.examples().stream(), second.examples().stream())
            .limit(MAXIMUM_NAMED_MEMBERS)
            .toList());
  }

  private static List<List<String>> splitIntoGroups(List<String> members) {
    int groupCount = Math.min(FANOUT, members.size());
    return IntStream.range(0, groupCount)
        .mapToObj(
            offset -> {
              List<String> group = new ArrayList<>();
              for (int index = offset; index < members.size(); index += groupCount) {
                group.add(members.get(index));
              }
              return (List<String>) group;
            })
        .toList();
  }
}
