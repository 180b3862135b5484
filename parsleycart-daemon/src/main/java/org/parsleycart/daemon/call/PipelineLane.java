package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSinkConduit;

/**
 * One request that runs before earlier requests on its connection have been answered. The server
 * handles it like the only request of a connection in memory. Its response is held back until its
 * turn. Confined to the input/output thread of the connection.
 */
final class PipelineLane extends StreamConnection {
  /** Answers a request whose response broke off before any of it was sent: it may have run. */
  private static final byte[] BAD_GATEWAY =
      "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final StreamConnection connection;
  private final ConnectionAccount account;
  private final Runnable onChanged;
  private final Runnable onReleased;
  private final LaneSource source;
  private final LaneSink sink;
  private Optional<HttpServerExchange> exchange = Optional.empty();
  private Optional<Runnable> taskOfTurn = Optional.empty();
  private boolean isFirst;
  private boolean isSending;
  private boolean isEnded;
  private boolean isClosed;
  private boolean isBroken;
  private boolean isReplaced;
  private boolean isReleased;

  // -- construction

  /**
   * Creates a lane whose request has not begun.
   *
   * @param head the bytes of the request
   * @param account what the request makes the daemon hold
   * @param onChanged runs when there is more of the response, or no more of it to come
   * @param onReleased runs once when the lane is no longer needed
   */
  PipelineLane(
      StreamConnection connection,
      ByteBuffer head,
      ConnectionAccount account,
      Runnable onChanged,
      Runnable onReleased) {
    super(connection.getIoThread());
    this.connection = connection;
    this.account = requireNonNull(account, "account is null");
    this.onChanged = requireNonNull(onChanged, "onChanged is null");
    this.onReleased = requireNonNull(onReleased, "onReleased is null");
    this.source = new LaneSource(getIoThread(), head, this::readClosed);
    this.sink = new LaneSink(getIoThread(), onChanged, this::writeClosed);
    setSourceConduit(source);
    setSinkConduit(sink);
  }

  // -- events

  /** Records that the server handles the request. */
  void begin(HttpServerExchange begun) {
    exchange = Optional.of(begun);
    begun.addExchangeCompleteListener(
        (completed, nextListener) -> {
          isEnded = true;
          nextListener.proceed();
          onChanged.run();
        });
  }

  /** Records that all earlier requests have been answered. */
  void becomeFirst() {
    isFirst = true;
    Optional<Runnable> task = taskOfTurn;
    taskOfTurn = Optional.empty();
    task.ifPresent(Runnable::run);
  }

  /** Runs a task once all earlier requests have been answered. */
  void whenFirst(Runnable task) {
    if (isFirst) {
      task.run();
    } else {
      taskOfTurn = Optional.of(task);
    }
  }

  /** Records that the caller has closed the connection, or that it failed. */
  void disconnect() {
    source.disconnect();
  }

  /** Ends the request if it is in progress, and releases all that it holds. */
  void release() {
    if (!isReleased) {
      isReleased = true;
      taskOfTurn = Optional.empty();
      IoUtils.safeClose(this);
      account.close();
      onReleased.run();
    }
  }

  // -- response

  /**
   * Sends what there is of the response.
   *
   * @return whether all of it was taken
   * @throws IOException if the response broke off after a part of it was sent
   */
  boolean sendTo(StreamSinkConduit target) throws IOException {
    if (isBroken && !isReplaced) {
      if (isSending) {
        throw new IOException("connection closed: its response broke off");
      }
      sink.replaceHeld(BAD_GATEWAY);
      isReplaced = true;
    }
    isSending |= !sink.isEmpty();
    return sink.sendTo(target);
  }

  // -- queries

  ConnectionAccount account() {
    return account;
  }

  boolean isFirst() {
    return isFirst;
  }

  /**
   * Returns whether the response is to be sent. Until it is complete or too long to be held, it may
   * still break off, and be replaced.
   */
  boolean isReady() {
    return isSending || isComplete() || sink.isFull();
  }

  /** Returns whether nothing will be added to the response. */
  boolean isComplete() {
    return isEnded || isClosed;
  }

  /** Returns whether the connection has to be closed after the response. */
  boolean isLast() {
    return exchange.filter(HttpServerExchange::isPersistent).isEmpty();
  }

  // -- StreamConnection

  @Override
  protected void closeAction() {
    isClosed = true;
    isBroken = !isEnded && exchange.isPresent();
    onChanged.run();
  }

  @Override
  public SocketAddress getPeerAddress() {
    return connection.getPeerAddress();
  }

  @Override
  public SocketAddress getLocalAddress() {
    return connection.getLocalAddress();
  }
}
