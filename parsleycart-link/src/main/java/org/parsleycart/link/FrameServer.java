package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
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
 * Answers framed requests, one on each connection.
 *
 * <p>One thread accepts connections and a few threads answer those whose first bytes have arrived.
 * When the queue is full, further connections are closed, which the client sees as a missing
 * answer. A read from a slow or hostile peer fails after the read timeout.
 */
public final class FrameServer implements AutoCloseable {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final int ANSWERING_THREADS = 4;
  private static final int MAXIMUM_QUEUED_CONNECTIONS = 64;

  private final FrameAcceptor acceptor;
  private final EnvelopeCodec codec;
  private final EncodedAnswers answers;
  private final ControlTrafficCounters counters;
  private final Function<ControlMessage, ControlMessage> handler;
  private final ThreadPoolExecutor answeringPool;
  private final Thread acceptingThread;

  // -- construction

  private FrameServer(
      InetSocketAddress address,
      EnvelopeCodec codec,
      ControlTrafficCounters counters,
      Function<ControlMessage, ControlMessage> handler,
      Thread.UncaughtExceptionHandler failures)
      throws IOException {
    this.acceptor = FrameAcceptor.open(address, this::submit, counters::recordRejected);
    this.codec = codec;
    this.answers = new EncodedAnswers(codec);
    this.counters = counters;
    this.handler = handler;
    this.answeringPool =
        new ThreadPoolExecutor(
            ANSWERING_THREADS,
            ANSWERING_THREADS,
            1,
            TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(MAXIMUM_QUEUED_CONNECTIONS),
            task -> Threads.newPoolThread("frame-answering", task, failures),
            new ThreadPoolExecutor.AbortPolicy());
    this.acceptingThread = Threads.newDaemonThread("frame-accepting", acceptor::run);
  }

  /**
   * Starts a server.
   *
   * @param address the address to listen on
   * @param codec verifies requests and signs answers
   * @param counters counts the messages and bytes
   * @param handler returns the answer to each request; called on several threads
   * @param failures receives the exceptions and errors of the handler
   * @throws IOException when the address cannot be used
   */
  public static FrameServer open(
      InetSocketAddress address,
      EnvelopeCodec codec,
      ControlTrafficCounters counters,
      Function<ControlMessage, ControlMessage> handler,
      Thread.UncaughtExceptionHandler failures)
      throws IOException {
    requireNonNull(handler, "handler is null");
    FrameServer server = new FrameServer(address, codec, counters, handler, failures);
    server.acceptingThread.start();
    return server;
  }

  // -- operation

  private void submit(Socket socket) {
    try {
      answeringPool.execute(() -> answer(socket));
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
    Optional<ControlMessage> message = codec.decode(request).toJavaOptional();
    if (message.isEmpty()) {
      counters.recordRejected();
      return;
    }
    byte[] answer = Frames.encode(answers.encode(message.get(), handler.apply(message.get())));
    socket.getOutputStream().write(answer);
    counters.recordSent(answer.length);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is discarded in any case.
    }
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
    answeringPool.shutdownNow();
  }
}
