package org.parsleycart.link.http;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Methods;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A client connection on which each response is checked and its bytes outside its body are bounded.
 * Confined to the input/output thread of the connection.
 */
public final class BoundedConnection implements Closeable {
  private final ClientConnection connection;
  private final StreamConnection stream;
  private final TurnConduit turn;
  private final BoundedResponseConduit responses;

  BoundedConnection(
      ClientConnection connection,
      StreamConnection stream,
      TurnConduit turn,
      BoundedResponseConduit responses) {
    this.connection = requireNonNull(connection, "connection is null");
    this.stream = requireNonNull(stream, "stream is null");
    this.turn = requireNonNull(turn, "turn is null");
    this.responses = requireNonNull(responses, "responses is null");
  }

  // -- exchanges

  /**
   * Sends the head of a request.
   *
   * @param callback receives the exchange; {@link #headReceived} must be called once the exchange
   *     has its response
   */
  public void send(ClientRequest request, ClientCallback<ClientExchange> callback) {
    responses.expectHead(request.getMethod().equals(Methods.HEAD));
    connection.sendRequest(request, callback);
  }

  /** Records that the head of the response is complete. */
  public void headReceived() {
    responses.completeHead();
  }

  /**
   * Records that bytes of the body of the response were read. Must be called after each read that
   * returned some, as the bytes between two bytes of a body are bounded.
   */
  public void bodyReceived() {
    responses.recordBody();
  }

  // -- queries

  public boolean isOpen() {
    return connection.isOpen();
  }

  /**
   * Returns whether the connection is open and nothing has arrived on it that belongs to no
   * request. May be called by any thread.
   */
  public boolean isReusable() {
    return connection.isOpen() && responses.isReusable();
  }

  /** Returns the thread to which the connection is confined. */
  public XnioIoThread thread() {
    return connection.getIoThread();
  }

  /**
   * Returns whether nothing has arrived on this idle connection, so that the next response on it
   * belongs to the next request. The end of the connection counts as an arrival.
   */
  public boolean isSilent() {
    turn.renewTurn();
    try {
      return isReusable() && stream.getSourceChannel().read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  // -- ending

  /** Sets a task that runs when the connection has been closed. */
  public void onClose(Runnable task) {
    connection.addCloseListener(closed -> task.run());
  }

  @Override
  public void close() throws IOException {
    connection.close();
  }

  /**
   * Closes the connection after an incomplete exchange, so that the other side detects it
   * immediately. The close of the HTTP client sends nothing while a response is pending, and does
   * not happen at all for a response that was to end with its connection and broke off.
   */
  public void abandon() {
    try {
      IoUtils.safeClose(connection.performUpgrade());
    } catch (IOException e) {
      IoUtils.safeClose(connection);
    }
  }
}
