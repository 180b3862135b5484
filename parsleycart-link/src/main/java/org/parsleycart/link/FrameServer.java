package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.parsleycart.decision.message.ControlMessage;

/**
 * Answers requests that arrive in frames, one request on each connection.
 *
 * <p>One thread accepts, a few answer; connections beyond the bounded queue are closed, which the
 * other side sees as no answer. A slow or hostile peer holds a thread for no longer than the
 * timeout.
 */
public final class FrameServer implements AutoCloseable {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final int THREADS = 4;
  private static final int WAITING_CONNECTIONS = 64;
  private static final int BACKLOG = 256;

  private final ServerSocket serverSocket;
  private final EnvelopeCodec envelope;
  private final ControlTrafficCounters counters;
  private final Function<ControlMessage, ControlMessage> handler;
  private final ThreadPoolExecutor answering;
  private final Thread accepting;

  // -- construction

  private FrameServer(
      ServerSocket serverSocket,
      EnvelopeCodec envelope,
      ControlTrafficCounters counters,
      Function<ControlMessage, ControlMessage> handler) {
    this.serverSocket = serverSocket;
    this.envelope = envelope;
    this.counters = counters;
    this.handler = handler;
    this.answering =
        new ThreadPoolExecutor(
            THREADS,
            THREADS,
            1,
            TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(WAITING_CONNECTIONS),
            task -> Threads.newDaemonThread("frame-answering", task),
            new ThreadPoolExecutor.AbortPolicy());
    this.accepting = Threads.newDaemonThread("frame-accepting", this::acceptAll);
  }

  /**
   * Opens a server.
   *
   * @param address where it listens
   * @param envelope checks and signs
   * @param counters counts the bytes
   * @param handler gives the answer to each request
   * @throws IOException when the address cannot be used
   */
  public static FrameServer open(
      InetSocketAddress address,
      EnvelopeCodec envelope,
      ControlTrafficCounters counters,
      Function<ControlMessage, ControlMessage> handler)
      throws IOException {
    requireNonNull(handler, "handler is null");
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(address, BACKLOG);
    FrameServer server = new FrameServer(socket, envelope, counters, handler);
    server.accepting.start();
    return server;
  }

  // -- operation

  private void acceptAll() {
    while (!serverSocket.isClosed()) {
      accept().ifPresent(this::submit);
    }
  }

  private Optional<Socket> accept() {
    try {
      return Optional.of(serverSocket.accept());
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private void submit(Socket socket) {
    try {
      answering.execute(() -> answer(socket));
    } catch (RejectedExecutionException e) {
      counters.recordRejected();
      closeQuietly(socket);
    }
  }

  private void answer(Socket socket) {
    try (socket) {
      socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
      socket.setTcpNoDelay(true);
      DataInputStream input = new DataInputStream(socket.getInputStream());
      int length = input.readInt();
      if (!Frames.isValidLength(length)) {
        counters.recordRejected();
        return;
      }
      byte[] bytes = input.readNBytes(length);
      counters.recordReceived(bytes.length + Frames.LENGTH_BYTES);
      answer(socket, bytes);
    } catch (IOException e) {
      counters.recordRejected();
    }
  }

  private void answer(Socket socket, byte[] request) throws IOException {
    Optional<ControlMessage> message = envelope.decode(request).toJavaOptional();
    if (message.isEmpty()) {
      counters.recordRejected();
      return;
    }
    byte[] answer = Frames.encode(envelope.encode(handler.apply(message.get())));
    socket.getOutputStream().write(answer);
    counters.recordSent(answer.length);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is of no use either way.
    }
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    answering.shutdownNow();
  }
}
