package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
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
  private final StreamConnection connection;
  private final StreamSinkConduit sink;
  private final LaneOpener opener;
  private final Runnable onAnswered;
  private final PipelineOrder<Optional<PipelineLane>> order =
      new PipelineOrder<>(PipelineOrder.MAXIMUM_IN_PROGRESS);
  private final List<PipelineLane> lanes = new ArrayList<>();
  private boolean isSending;
  private boolean isClosing;
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
   * @param onAnswered runs when the server may read from the connection again
   */
  RequestPipeline(StreamConnection connection, LaneOpener opener, Runnable onAnswered) {
    this.connection = requireNonNull(connection, "connection is null");
    this.opener = requireNonNull(opener, "opener is null");
    this.onAnswered = requireNonNull(onAnswered, "onAnswered is null");
    this.sink = connection.getSinkChannel().getConduit();
  }

  // -- requests

  /**
   * Records that the server handles a request on the connection itself. Returns whether requests
   * behind it may begin before it has been answered.
   */
  boolean begin(HttpServerExchange exchange) {
    boolean isSafe = exchange.getRequestMethod().equals(Methods.GET) || isHead(exchange);
    boolean isFollowed = isSafe && exchange.isRequestComplete() && exchange.isPersistent();
    order.begin(Optional.empty(), isFollowed);
    return isFollowed;
  }

  private static boolean isHead(HttpServerExchange exchange) {
    return exchange.getRequestMethod().equals(Methods.HEAD);
  }

  /** Records that the request that the server handles itself has been answered. */
  void end() {
    order.endFirst();
    isHoldingBack = !order.isEmpty();
    sendResponses();
  }

  /** Begins the safe requests at the start of the bytes that have been read ahead. */
  void beginAhead(ByteBuffer received) {
    OptionalInt length = nextHead(received);
    while (length.isPresent()) {
      ByteBuffer head = ByteBuffer.allocate(length.getAsInt());
      head.put(received.slice(received.position(), head.capacity())).flip();
      Optional<PipelineLane> lane = opener.open(head, this::sendResponses);
      if (lane.isEmpty()) {
        return;
      }
      received.position(received.position() + length.getAsInt());
      order.begin(lane, true);
      lanes.add(lane.get());
      isClosing |= lane.get().isLast();
      length = nextHead(received);
    }
    sendResponses();
  }

  private OptionalInt nextHead(ByteBuffer received) {
    return order.isEmpty() || isClosing || !order.mayBegin(true)
        ? OptionalInt.empty()
        : SafeRequestHead.lengthIn(received);
  }

  /** Records that the caller has closed the connection, or that it failed. */
  void disconnect() {
    List.copyOf(lanes).forEach(PipelineLane::disconnect);
  }

  // -- responses

  private void sendResponses() {
    if (isSending) {
      return;
    }
    isSending = true;
    try {
      Optional<PipelineLane> lane = firstLane();
      while (lane.isPresent() && sendResponse(lane.get())) {
        lane = firstLane();
      }
    } catch (IOException e) {
      // The caller gets no complete response any more, and sees that the connection is closed.
      IoUtils.safeClose(connection);
    } finally {
      isSending = false;
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
      IoUtils.safeClose(connection);
    } else if (order.isEmpty()) {
      isHoldingBack = false;
      sink.setWriteReadyHandler(
          new WriteReadyHandler.ChannelListenerHandler<>(connection.getSinkChannel()));
      sink.suspendWrites();
      onAnswered.run();
    }
    return true;
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
