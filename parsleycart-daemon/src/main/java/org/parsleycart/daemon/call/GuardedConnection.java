package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleycart.decision.protection.ConnectionUsage;
import org.parsleycart.decision.protection.ConnectionUsage.Phase;
import org.parsleycart.link.http.TurnConduit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * A connection to a listener, and what its client makes the daemon hold. The input/output thread of
 * the connection changes it; the thread that measures usage reads it.
 */
final class GuardedConnection {
  /**
   * Read from a connection in one turn between requests. Bounds how many pipelined requests are
   * parsed in a row, and suffices for the head of an ordinary request.
   */
  static final int HEAD_TURN_BYTES = 2 * 1024;

  /** Empty lines before a request count too. The server answers longer heads within this bound. */
  private static final long MAXIMUM_HEAD_BYTES = CallServer.MAXIMUM_HEADER_BYTES + HEAD_TURN_BYTES;

  /** Read in one turn of a body with a length: two buffers of the pool. */
  private static final int BODY_TURN_BYTES = 16 * 1024;

  /**
   * Read in one turn of a body in chunks until they are known not to be tiny. The server copies
   * what is left of a buffer for each chunk of it, so that they cost time in the square of the
   * turn.
   */
  private static final int CHUNKED_TURN_BYTES = 2 * 1024;

  /**
   * A body in chunks that has an end of line for every 5 bytes or less has chunks of some 4 bytes
   * or less, as each chunk takes two lines.
   */
  private static final int TINY_CHUNK_BYTES_PER_LINE = 5;

  /** Read before chunks are judged. */
  private static final long JUDGED_BYTES = 16 * 1024;

  /** Progress within the stall time that counts. An ordinary client over a slow link makes more. */
  private static final long MINIMUM_PROGRESS_BYTES = 1024;

  /** Leaves time for the request in progress to notice that its connection failed. */
  private static final long CLOSE_DELAY_MILLISECONDS = 100;

  private final StreamConnection connection;
  private final TurnConduit turn;
  private final ProgressSinkConduit sink;
  private final ConnectionAccount account;
  private final Consumer<String> onRefused;
  private final InstantSource clock;
  private final HeadMeter head = new HeadMeter();
  private volatile Optional<HttpServerExchange> exchange = Optional.empty();
  private boolean isNextPipelined;

  /** When bytes of the next request were first read, before the present one was answered. */
  private Optional<Instant> readAheadAt = Optional.empty();

  private Optional<Instant> pipelinedSince = Optional.empty();
  private Instant requestBegunAt;
  private long progressBytes;
  private Instant progressAt;
  private Phase lastPhase = Phase.UNUSED;

  // -- construction

  private GuardedConnection(
      StreamConnection connection,
      TurnConduit turn,
      ProgressSinkConduit sink,
      ConnectionAccount account,
      Consumer<String> onRefused,
      InstantSource clock) {
    this.account = account;
    this.onRefused = onRefused;
    this.connection = connection;
    this.turn = turn;
    this.sink = sink;
    this.clock = clock;
    this.progressAt = clock.instant();
    this.requestBegunAt = progressAt;
  }

  /**
   * Installs the measurement of progress and the bound of turns on a new connection.
   *
   * @param onRefused receives the cause when the connection fails while it reads a head
   */
  static GuardedConnection install(
      StreamConnection connection,
      ConnectionAccount account,
      Consumer<String> onRefused,
      InstantSource clock) {
    GuardedConnection guarded =
        new GuardedConnection(
            connection,
            TurnConduit.install(connection, HEAD_TURN_BYTES),
            ProgressSinkConduit.install(connection),
            account,
            onRefused,
            clock);
    guarded.turn.setReadListener(guarded::recordRead);
    DisconnectDetectingConduit.install(connection, guarded);
    return guarded;
  }

  // -- events

  /**
   * Charges what has been read between two requests to the next one.
   *
   * @throws IOException if its head is too long, or if too much is held already
   */
  void recordRead(ByteBuffer buffer, int start, int count) throws IOException {
    if (exchange.isEmpty() && !isHoldingBack()) {
      head.record(buffer, start, count);
      if (head.bytes() > MAXIMUM_HEAD_BYTES) {
        onRefused.accept("head");
        throw new IOException("connection closed: the head of its request has no end");
      }
      if (!account.tryHoldHead(head.heapBytes())) {
        onRefused.accept("memory");
        throw new IOException("connection closed: too much is held for clients");
      }
    }
  }

  /** Records that a request begins. Returns whether it arrived before the previous response. */
  boolean begin(HttpServerExchange begun) {
    head.restart();
    pipelinedSince = isNextPipelined ? readAheadAt : Optional.empty();
    readAheadAt = Optional.empty();
    requestBegunAt = clock.instant();
    exchange = Optional.of(begun);
    if (!begun.isRequestComplete()) {
      boolean isChunked = begun.getRequestContentLength() < 0;
      turn.setBytesPerTurn(isChunked ? CHUNKED_TURN_BYTES : BODY_TURN_BYTES);
      turn.countLines(isChunked);
    }
    return isNextPipelined;
  }

  /**
   * Charges a request whose head is complete. Returns whether it may be handled.
   *
   * @param hasMore whether bytes behind the head keep a buffer until the request has ended
   */
  boolean tryHoldRequest(HttpServerExchange begun, boolean hasMore) {
    boolean mayKeepBuffer = !hasMore || !account.areBuffersExceeded();
    return mayKeepBuffer && account.tryHoldHead(RequestHeads.heapBytes(begun));
  }

  /**
   * Records that an exchange is complete.
   *
   * @param hasMore whether bytes of the next request have been read already
   * @param parsed what the server has read already of the next request
   */
  void end(boolean hasMore, Optional<ByteBuffer> parsed) {
    exchange = Optional.empty();
    account.endRequest();
    isNextPipelined = hasMore;
    if (parsed.isPresent()) {
      // These bytes arrived with the request that has ended.
      readAheadAt = Optional.of(requestBegunAt);
    }
    parsed.ifPresent(this::recordParsed);
    turn.setBytesPerTurn(HEAD_TURN_BYTES);
    turn.countLines(false);
  }

  private void recordParsed(ByteBuffer parsed) {
    try {
      recordRead(parsed, parsed.position(), parsed.remaining());
    } catch (IOException e) {
      // The server would go on with the bytes that it has.
      IoUtils.safeClose(connection);
    }
  }

  /** Records the bytes that have been read ahead of the server. */
  void setReadAhead(int bytes) {
    account.setReadAhead(bytes);
    if (bytes > 0 && readAheadAt.isEmpty()) {
      readAheadAt = Optional.of(clock.instant());
    }
  }

  /** Releases all that the connection holds, once it is closed. */
  void release() {
    account.close();
  }

  /**
   * Ends the request in progress, and closes the connection. Reads and writes fail from now on, so
   * that what transfers a body notices it as if the client had reset the connection, and ends the
   * call at the upstream too. Runs on the thread of the connection.
   */
  void abort() {
    turn.fail();
    sink.fail();
    turn.wakeupReads();
    sink.wakeupWrites();
    connection
        .getIoThread()
        .executeAfter(this::close, CLOSE_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  /**
   * A response that only the end of the connection would complete must not pass for a whole one.
   */
  private void close() {
    exchange.ifPresentOrElse(ResponseFraming::abort, () -> IoUtils.safeClose(connection));
  }

  /**
   * Reserves memory for a body until the exchange is complete. Returns false, and reserves nothing,
   * if all connections together hold too much.
   */
  boolean tryHoldBody(long bytes) {
    return account.tryHoldBody(bytes);
  }

  /** Counts the time without progress from now on. */
  void restartProgress(Instant now) {
    progressAt = now;
  }

  // -- queries

  /**
   * Returns since when the request has been on the connection, empty if it did not arrive before
   * the previous response was complete.
   */
  Optional<Instant> pipelinedSince() {
    return pipelinedSince;
  }

  StreamConnection connection() {
    return connection;
  }

  /** Measures the usage. Called by one thread. */
  ConnectionUsage usage(Instant now) {
    Phase phase = phase();
    long bytes = turn.totalBytes() + sink.totalBytes();
    // Tiny chunks take far more work than the bytes of their body are worth.
    boolean isWasteful = hasTinyChunks();
    boolean isProgressing = !isWasteful && bytes - progressBytes >= MINIMUM_PROGRESS_BYTES;
    if (turn.countedBytes() >= JUDGED_BYTES) {
      connection.getIoThread().execute(this::adaptTurns);
    }
    boolean isTimed = phase.isClientAwaited() || phase == Phase.UNUSED;
    if (!isTimed || phase != lastPhase || isProgressing) {
      progressBytes = bytes;
      progressAt = now;
    }
    lastPhase = phase;
    return new ConnectionUsage(phase, account.heldBytes(), Duration.between(progressAt, now));
  }

  private boolean hasTinyChunks() {
    long bytes = turn.countedBytes();
    return bytes >= JUDGED_BYTES && turn.countedLines() * TINY_CHUNK_BYTES_PER_LINE >= bytes;
  }

  /** Adapts the turns of a body in chunks, unless the request has ended in the meantime. */
  private void adaptTurns() {
    if (turn.countedBytes() >= JUDGED_BYTES) {
      turn.setBytesPerTurn(hasTinyChunks() ? CHUNKED_TURN_BYTES : BODY_TURN_BYTES);
    }
  }

  private boolean isHoldingBack() {
    return connection.getSourceChannel().getConduit() instanceof DisconnectDetectingConduit conduit
        && conduit.isHoldingBack();
  }

  private Phase phaseBetweenRequests() {
    if (turn.totalBytes() == 0) {
      return Phase.UNUSED;
    }
    return head.isBegun() ? Phase.HEAD : Phase.IDLE;
  }

  private Phase phase() {
    Optional<HttpServerExchange> current = exchange;
    if (current.isEmpty() && isHoldingBack()) {
      return sink.isBlocked() ? Phase.READING : Phase.SERVED;
    }
    if (current.isEmpty()) {
      return phaseBetweenRequests();
    }
    if (sink.isBlocked()) {
      return Phase.READING;
    }
    // Reads are not resumed while the daemon has no use for more of the body yet.
    return !current.get().isRequestComplete() && turn.isReadResumed()
        ? Phase.SENDING
        : Phase.SERVED;
  }
}
