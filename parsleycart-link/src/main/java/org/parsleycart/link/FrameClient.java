package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import org.parsleycart.decision.message.ControlMessage;

/** Sends one request over a connection of its own and waits for the answer. */
public final class FrameClient {
  private final EnvelopeCodec envelope;
  private final ControlTrafficCounters counters;

  /**
   * Bounds the wait for a connection: a few round trips between regions. A machine that is gone
   * answers nothing, and what waits for it holds up what others could answer.
   */
  private static final Duration LONGEST_CONNECT = Duration.ofMillis(300);

  // -- construction

  /** Creates a client that signs with the given envelope and counts its bytes. */
  public FrameClient(EnvelopeCodec envelope, ControlTrafficCounters counters) {
    this.envelope = requireNonNull(envelope, "envelope is null");
    this.counters = requireNonNull(counters, "counters is null");
  }

  // -- operations

  /**
   * Sends a request.
   *
   * @param address the control address of the receiver
   * @param request the request
   * @param timeout bounds the wait for the answer; the connection has less time
   * @return the answer, or why there is none
   */
  public Either<LinkError, ControlMessage> send(
      String address, ControlMessage request, Duration timeout) {
    requireNonNull(request, "request is null");
    Optional<InetSocketAddress> target = Addresses.parse(address);
    if (target.isEmpty()) {
      return Either.left(new LinkError.Unreachable(address, "not an IP number and port"));
    }
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      int milliseconds = (int) Math.max(1, timeout.toMillis());
      try {
        socket.connect(target.get(), (int) Math.min(milliseconds, LONGEST_CONNECT.toMillis()));
      } catch (IOException e) {
        return Either.left(new LinkError.Unreachable(address, String.valueOf(e.getMessage())));
      }
      socket.setSoTimeout(milliseconds);
      return exchange(socket, request);
    } catch (IOException e) {
      return Either.left(new LinkError.NoAnswer(address, String.valueOf(e.getMessage())));
    }
  }

  private Either<LinkError, ControlMessage> exchange(Socket socket, ControlMessage request)
      throws IOException {
    byte[] bytes = envelope.encode(request);
    DataOutputStream output = new DataOutputStream(socket.getOutputStream());
    output.write(Frames.encode(bytes));
    output.flush();
    counters.recordSent(bytes.length + Frames.LENGTH_BYTES);
    DataInputStream input = new DataInputStream(socket.getInputStream());
    int length = input.readInt();
    if (!Frames.isValidLength(length)) {
      return Either.left(new LinkError.Rejected("a frame of " + length + " bytes"));
    }
    byte[] answer = input.readNBytes(length);
    counters.recordReceived(length + Frames.LENGTH_BYTES);
    return answer.length < length
        ? Either.left(new LinkError.Rejected("a frame that ends early"))
        : envelope.decode(answer);
  }
}
