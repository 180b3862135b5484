package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.parsleycart.decision.pipeline.PipelineOrder;
import org.parsleycart.decision.pipeline.SafeRequestHead;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.WriteReadyHandler;

/**
 * Runs safe requests that arrive on a connection before earlier ones have been answered, and sends
 * all responses in the order of the requests.
 *
 * <p>The server handles the first request on the connection itself, and each one that arrives
 * meanwhile in a {@link PipelineLane}. It reads from the connection again when all lanes have been
 * answered. Confined to the input/output thread of the connection, except for queries that say so.
 */
final class RequestPipeline {
  private static final Set<HttpString> SAFE_METHODS = Set.of(Methods.GET, Methods.HEAD);

  /** A connection that is closed while bytes arrive is reset, which may overtake the response. */
  private static final long LINGER_MILLISECONDS = 500;

  private final StreamConnection connection;
  private final StreamSinkConduit sink;
  private final LaneOpener opener;
  private final Duration maximumHoldTime;
  private final InstantSource clock;
  private final Runnable onAnswered;
  private final PipelineOrder<Optional<PipelineLane>> order =
      new PipelineOrder<>(PipelineOrder.MAXIMUM_IN_PROGRESS);
  private final List<PipelineLane> lanes = new ArrayList<>();
  private boolean isBusy;
  private boolean isClosing;
  private Instant heldBackSince;
  private volatile boolean isHoldingBack;

  /** Opens lanes. */
  @FunctionalInterface
  interface LaneOpener {
    /**
     * Lets the server handle a request in a lane.
     *
     * @param head the bytes of the request
     * @param onChanged runs when there is more of the response, or no more of it to come
     * @return the lane, empty if there is no place for it at present
     */
    Optional<PipelineLane> open(ByteBuffer head, Runnable onChanged);
  }

  // -- construction

  /**
   * Creates a pipeline without requests.
   *
   * @param maximumHoldTime how long the server may be kept from reading, which closes connections
   *     on which no request begins
   * @param onAnswered runs when a request may begin that had to wait for an answer
   */
  RequestPipeline(
      StreamConnection connection,
      LaneOpener opener,
      Duration maximumHoldTime,
      InstantSource clock,
      Runnable onAnswered) {
    this.connection = requireNonNull(connection, "connection is null");
    this.opener = requireNonNull(opener, "opener is null");
    this.onAnswered = requireNonNull(onAnswered, "onAnswered is null");
    this.maximumHoldTime = requireNonNull(maximumHoldTime, "maximumHoldTime is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.sink = connection.getSinkChannel().getConduit();
    this.heldBackSince = clock.instant();
  }

  // -- requests

  /**
   * Records that the server handles a request on the connection itself. Returns whether requests
   * behind it may begin before it has been answered.
   */
  boolean begin(HttpServerExchange exchange) {
    boolean isSafe = SAFE_METHODS.contains(exchange.getRequestMethod());
    boolean isFollowed = isSafe && exchange.isRequestComplete() && exchange.isPersistent();
    order.begin(Optional.empty(), isFollowed);
    return isFollowed;
  }

  /** Records that the request that the server handles itself has been answered. */
  void end() {
    order.endFirst();
    isHoldingBack = !order.isEmpty();
    heldBackSince = clock.instant();
    sendResponses();
  }

  /** Begins the safe requests at the start of the bytes that have been read ahead. */
  void beginAhead(ByteBuffer received) {
    if (isBusy) {
      return;
    }
    // A lane may change while it is opened, before it has its place in the order.
    isBusy = true;
    try {
      OptionalInt length = nextHead(received);
      while (length.isPresent() && begin(received, length.getAsInt())) {
        length = nextHead(received);
      }
    } finally {
      isBusy = false;
    }
    sendResponses();
  }

  /** Begins the request at the position of a buffer. Returns false if there is no place for it. */
  private boolean begin(ByteBuffer received, int length) {
    ByteBuffer head = ByteBuffer.allocate(length);
    head.put(received.slice(received.position(), length)).flip();
    Optional<PipelineLane> opened = opener.open(head, this::sendResponses);
    opened.ifPresent(
        lane -> {
          received.position(received.position() + length);
          order.begin(opened, true);
          lanes.add(lane);
          isClosing |= lane.isLast();
        });
    return opened.isPresent();
  }

  private OptionalInt nextHead(ByteBuffer received) {
    boolean mayBegin = !order.isEmpty() && !isClosing && !isHeldTooLong() && order.mayBegin(true);
    return mayBegin ? SafeRequestHead.lengthIn(received) : OptionalInt.empty();
  }

  private boolean isHeldTooLong() {
    return isHoldingBack
        && Duration.between(heldBackSince, clock.instant()).compareTo(maximumHoldTime) > 0;
  }

  /** Ends all requests, because the caller has closed the connection or it failed. */
  void disconnect() {
    isClosing = true;
    lanes.forEach(PipelineLane::disconnect);
    // The lanes report the disconnect to their calls on this thread, before they are released.
    connection.getIoThread().execute(this::releaseLanes);
  }

  private void releaseLanes() {
    List<PipelineLane> released = List.copyOf(lanes);
    lanes.clear();
    released.forEach(PipelineLane::release);
    if (isHoldingBack) {
      isHoldingBack = false;
      onAnswered.run();
    }
  }

  // -- responses

  private void sendResponses() {
    if (isBusy || lanes.isEmpty()) {
      return;
    }
    isBusy = true;
    try {
      Optional<PipelineLane> lane = firstLane();
      while (lane.isPresent() && sendResponse(lane.get())) {
        lane = firstLane();
      }
    } catch (IOException e) {
      // The caller gets no complete response any more, and sees that the connection is closed.
      IoUtils.safeClose(connection);
      disconnect();
    } finally {
      isBusy = false;
    }
  }

  private Optional<PipelineLane> firstLane() {
    return order.first().flatMap(first -> first);
  }

  /** Returns whether the response has been sent as a whole. */
  private boolean sendResponse(PipelineLane lane) throws IOException {
    if (!lane.isFirst()) {
      lane.becomeFirst();
    }
    if (!lane.isReady()) {
      return false;
    }
    if (!lane.sendTo(sink)) {
      awaitSink();
      return false;
    }
    if (!lane.isComplete()) {
      return false;
    }
    sink.flush();
    order.endFirst();
    lanes.remove(lane);
    lane.release();
    if (lane.isLast()) {
      closeAfterResponse();
      return false;
    }
    if (order.isEmpty()) {
      isHoldingBack = false;
      sink.setWriteReadyHandler(
          new WriteReadyHandler.ChannelListenerHandler<>(connection.getSinkChannel()));
      sink.suspendWrites();
    }
    // There may be a place for a request that has been read ahead, or the server may go on.
    connection.getIoThread().execute(onAnswered);
    return true;
  }

  /** Closes the connection once the caller has had time to read the response. */
  private void closeAfterResponse() throws IOException {
    isClosing = true;
    sink.terminateWrites();
    sink.flush();
    connection
        .getIoThread()
        .executeAfter(
            () -> {
              IoUtils.safeClose(connection);
              disconnect();
            },
            LINGER_MILLISECONDS,
            TimeUnit.MILLISECONDS);
  }

  private void awaitSink() {
    sink.setWriteReadyHandler(new SendHandler());
    sink.resumeWrites();
  }

  private final class SendHandler implements WriteReadyHandler {
    @Override
    public void writeReady() {
      sink.suspendWrites();
      sendResponses();
    }

    @Override
    public void forceTermination() {
      IoUtils.safeClose(connection);
    }

    @Override
    public void terminated() {
      disconnect();
    }
  }

  // -- queries

  /**
   * Returns whether the server has to wait with the next request until lanes have been answered.
   * May be called by any thread.
   */
  boolean isHoldingBack() {
    return isHoldingBack;
  }
}
