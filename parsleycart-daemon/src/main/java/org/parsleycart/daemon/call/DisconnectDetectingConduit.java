package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads ahead on a connection while a request is in progress, so that a disconnect is detected
 * immediately. The server itself reads nothing between a request and its response.
 *
 * <p>Bytes read ahead belong to the next request. They are buffered until the server reads them,
 * and reading ahead stops when the buffer is full. Confined to the input/output thread of the
 * connection.
 */
final class DisconnectDetectingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  private static final int READ_AHEAD_BYTES = 4096;

  private final Optional<GuardedConnection> guarded;
  private final Optional<PipelineLane> lane;
  private ReadReadyHandler serverHandler;
  private Optional<Runnable> disconnectTask = Optional.empty();
  private Optional<RequestPipeline> pipeline = Optional.empty();
  private ByteBuffer buffered = ByteBuffer.allocate(0);
  private boolean isEnded;
  private boolean isReadRequested;

  // -- construction

  DisconnectDetectingConduit(ConduitStreamSourceChannel channel) {
    this(channel, Optional.empty(), Optional.empty());
  }

  private DisconnectDetectingConduit(
      ConduitStreamSourceChannel channel,
      Optional<GuardedConnection> guarded,
      Optional<PipelineLane> lane) {
    super(channel.getConduit());
    this.guarded = guarded;
    this.lane = lane;
    this.serverHandler = new ReadReadyHandler.ChannelListenerHandler<>(channel);
    next.setReadReadyHandler(new ReadHandler());
  }

  /** Installs a conduit between a new connection and the server. */
  static void install(StreamConnection connection, GuardedConnection guarded) {
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    channel.setConduit(
        new DisconnectDetectingConduit(channel, Optional.of(guarded), Optional.empty()));
  }

  /** Installs a conduit on the lane of a pipelined request. */
  static void install(PipelineLane lane) {
    ConduitStreamSourceChannel channel = lane.getSourceChannel();
    channel.setConduit(
        new DisconnectDetectingConduit(channel, Optional.empty(), Optional.of(lane)));
  }

  /**
   * Lets requests on a connection begin before earlier ones have been answered.
   *
   * @param maximumHoldTime how long the server may be kept from reading the next request
   */
  static void installPipeline(
      StreamConnection connection,
      RequestPipeline.LaneOpener opener,
      Duration maximumHoldTime,
      InstantSource clock) {
    if (connection.getSourceChannel().getConduit() instanceof DisconnectDetectingConduit conduit) {
      conduit.pipeline =
          Optional.of(
              new RequestPipeline(
                  connection, opener, maximumHoldTime, clock, conduit::continueReading));
    }
  }

  /** Returns the conduit installed on the connection of an exchange, empty if there is none. */
  static Optional<DisconnectDetectingConduit> of(HttpServerExchange exchange) {
    return exchange.getConnection() instanceof AbstractServerConnection connection
            && connection.getOriginalSourceConduit() instanceof DisconnectDetectingConduit conduit
        ? Optional.of(conduit)
        : Optional.empty();
  }

  /** Returns the account of the connection of an exchange, empty if there is none. */
  static Optional<GuardedConnection> guardOf(HttpServerExchange exchange) {
    return of(exchange).flatMap(conduit -> conduit.guarded);
  }

  /** Returns the lane in which an exchange takes place, empty if it has a connection of its own. */
  static Optional<PipelineLane> laneOf(HttpServerExchange exchange) {
    return of(exchange).flatMap(conduit -> conduit.lane);
  }

  /** Returns the pipeline of the connection of an exchange, empty if there is none. */
  static Optional<RequestPipeline> pipelineOf(HttpServerExchange exchange) {
    return of(exchange).flatMap(conduit -> conduit.pipeline);
  }

  /** Returns whether bytes of the next request have been read ahead. */
  boolean hasBuffered() {
    return buffered.hasRemaining();
  }

  // -- watching

  /**
   * Watches the connection until the exchange completes. The request must have been read in full.
   *
   * @param task runs once if the other side closes or resets the connection before that
   */
  static void watch(HttpServerExchange exchange, Runnable task) {
    of(exchange)
        .ifPresent(
            conduit -> {
              exchange.addExchangeCompleteListener(
                  (completed, nextListener) -> {
                    conduit.unwatch();
                    nextListener.proceed();
                  });
              conduit.watch(task);
            });
  }

  void watch(Runnable task) {
    disconnectTask = Optional.of(task);
    if (isEnded) {
      notifyDisconnect();
      return;
    }
    // The caller may have disconnected before its request was read. The end of the stream is then
    // already readable.
    readAhead();
    if (!isEnded) {
      next.resumeReads();
    }
  }

  /** Ends the watch, and passes the buffered bytes to the server if it has resumed reads. */
  void unwatch() {
    disconnectTask = Optional.empty();
    resumeServer();
  }

  /** Goes on between two requests that the server handles itself. */
  private void continueReading() {
    if (disconnectTask.isEmpty()) {
      resumeServer();
    }
  }

  /** Passes the buffered bytes to the server if it has resumed reads. */
  private void resumeServer() {
    if (isReadRequested || isHoldingBack()) {
      resumeNext();
    } else {
      next.suspendReads();
    }
  }

  /** Returns whether the server has to wait for the answers to pipelined requests. */
  boolean isHoldingBack() {
    return pipeline.filter(RequestPipeline::isHoldingBack).isPresent();
  }

  /** Takes back bytes that the server has read behind the request in progress. */
  void unread(ByteBuffer bytes) {
    setBuffered(bytes, buffered);
  }

  private void beginAhead() {
    if (pipeline.isPresent() && buffered.hasRemaining()) {
      pipeline.get().beginAhead(buffered);
      recordBuffered();
    }
  }

  private void readAhead() {
    beginAhead();
    if (buffered.remaining() >= READ_AHEAD_BYTES) {
      next.suspendReads();
      return;
    }
    ByteBuffer buffer = ByteBuffer.allocate(READ_AHEAD_BYTES);
    try {
      int count = next.read(buffer);
      isEnded = count < 0;
    } catch (IOException e) {
      // A reset is handled like a close.
      isEnded = true;
    }
    append(buffer.flip());
    beginAhead();
    if (isEnded) {
      next.suspendReads();
      notifyDisconnect();
    }
  }

  private void append(ByteBuffer read) {
    if (read.hasRemaining()) {
      setBuffered(buffered, read);
    }
  }

  /** Keeps no more memory than there are bytes, since most connections never have any. */
  private void setBuffered(ByteBuffer first, ByteBuffer second) {
    ByteBuffer joined = ByteBuffer.allocate(first.remaining() + second.remaining());
    buffered = joined.put(first).put(second).flip();
    recordBuffered();
  }

  private void recordBuffered() {
    guarded.ifPresent(account -> account.setReadAhead(buffered.remaining()));
  }

  private void notifyDisconnect() {
    Optional<Runnable> task = disconnectTask;
    disconnectTask = Optional.empty();
    task.ifPresent(Runnable::run);
    pipeline.ifPresent(RequestPipeline::disconnect);
  }

  // -- reading

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (isHoldingBack()) {
      return 0;
    }
    if (buffered.hasRemaining()) {
      int count = Math.min(buffered.remaining(), target.remaining());
      ByteBuffer part = buffered.slice(buffered.position(), count);
      int start = target.position();
      target.put(part);
      buffered.position(buffered.position() + count);
      recordBuffered();
      if (guarded.isPresent()) {
        guarded.get().recordRead(target, start, count);
      }
      return count;
    }
    return isEnded ? -1 : next.read(target);
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    if (isHoldingBack()) {
      return 0;
    }
    if (!buffered.hasRemaining() && !isEnded) {
      return next.read(targets, offset, length);
    }
    long total = 0;
    for (int index = offset; index < offset + length && buffered.hasRemaining(); index++) {
      total += targets[index].hasRemaining() ? read(targets[index]) : 0;
    }
    return total == 0 && isEnded ? -1 : total;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
  }

  // -- readiness

  @Override
  public void resumeReads() {
    isReadRequested = true;
    resumeNext();
  }

  private void resumeNext() {
    if (isHoldingBack()) {
      beginAhead();
      if (!isEnded && buffered.remaining() < READ_AHEAD_BYTES) {
        next.resumeReads();
      }
    } else if (buffered.hasRemaining() || isEnded) {
      next.wakeupReads();
    } else {
      next.resumeReads();
    }
  }

  @Override
  public void wakeupReads() {
    isReadRequested = true;
    next.wakeupReads();
  }

  @Override
  public void suspendReads() {
    isReadRequested = false;
    if (disconnectTask.isEmpty() && !isHoldingBack()) {
      next.suspendReads();
    }
  }

  @Override
  public boolean isReadResumed() {
    return isReadRequested;
  }

  @Override
  public void setReadReadyHandler(ReadReadyHandler handler) {
    serverHandler = requireNonNull(handler, "handler is null");
    next.setReadReadyHandler(new ReadHandler());
  }

  /** Reads ahead while the connection is watched. Otherwise notifies the server. */
  private final class ReadHandler implements ReadReadyHandler {
    @Override
    public void readReady() {
      if (disconnectTask.isPresent() || isHoldingBack()) {
        readAhead();
      } else {
        serverHandler.readReady();
      }
    }

    @Override
    public void forceTermination() {
      serverHandler.forceTermination();
    }

    @Override
    public void terminated() {
      pipeline.ifPresent(RequestPipeline::disconnect);
      serverHandler.terminated();
    }
  }
}
