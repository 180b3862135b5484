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

/** Sends control requests, each over a connection of its own, and waits for the answer. */
public final class FrameClient {
  private final EnvelopeCodec codec;
  private final ControlTrafficCounters counters;

  /**
   * The usual wait for a connection: a few round trips between regions. A failed machine does not
   * answer at all, and waiting for it delays requests that other machines could answer.
   */
  public static final Duration USUAL_CONNECT_TIMEOUT = Duration.ofMillis(300);

  // -- construction

  /** Creates a client that signs and verifies with the codec and counts its traffic. */
  public FrameClient(EnvelopeCodec codec, ControlTrafficCounters counters) {
    this.codec = requireNonNull(codec, "codec is null");
    this.counters = requireNonNull(counters, "counters is null");
  }

  // -- operations

  /**
   * Sends a request.
   *
   * @param address the control address of the receiver
   * @param timeout the longest wait for data of the answer; connecting takes at most 300 ms of it
   * @return the answer, or the reason why there is none
   */
  public Either<LinkError, ControlMessage> send(
      String address, ControlMessage request, Duration timeout) {
    return send(
        address,
        request,
        timeout.compareTo(USUAL_CONNECT_TIMEOUT) < 0 ? timeout : USUAL_CONNECT_TIMEOUT,
        timeout,
        () -> {});
  }

  /**
   * Sends a request.
   *
   * @param address the control address of the receiver
   * @param connectTimeout the longest wait for the connection
   * @param timeout the longest wait for data of the answer
   * @param onConnected runs when the receiver has accepted the connection
   * @return the answer, or the reason why there is none
   */
  public Either<LinkError, ControlMessage> send(
      String address,
      ControlMessage request,
      Duration connectTimeout,
      Duration timeout,
      Runnable onConnected) {
    requireNonNull(request, "request is null");
    Optional<InetSocketAddress> target = Addresses.parseTarget(address);
    if (target.isEmpty()) {
      return Either.left(new LinkError.Unreachable(address, "not an IP address and port"));
    }
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      try {
        socket.connect(target.get(), milliseconds(connectTimeout));
      } catch (IOException e) {
        return Either.left(new LinkError.Unreachable(address, String.valueOf(e.getMessage())));
      }
      onConnected.run();
      socket.setSoTimeout(milliseconds(timeout));
      return exchange(socket, request);
    } catch (IOException e) {
      return Either.left(new LinkError.NoAnswer(address, String.valueOf(e.getMessage())));
    }
  }

  private static int milliseconds(Duration timeout) {
    return (int) Math.max(1, timeout.toMillis());
  }

  private Either<LinkError, ControlMessage> exchange(Socket socket, ControlMessage request)
      throws IOException {
    byte[] bytes = codec.encode(request);
    DataOutputStream output = new DataOutputStream(socket.getOutputStream());
    output.write(Frames.encode(bytes));
    output.flush();
    counters.recordSent(bytes.length + Frames.LENGTH_BYTES);
    DataInputStream input = new DataInputStream(socket.getInputStream());
    int length = input.readInt();
    if (!Frames.isValidLength(length)) {
      return Either.left(
          new LinkError.Rejected(
              "frame of " + length + " bytes, allowed 1 to " + Frames.MAXIMUM_LENGTH));
    }
    byte[] answer = input.readNBytes(length);
    counters.recordReceived(length + Frames.LENGTH_BYTES);
    return answer.length < length
        ? Either.left(
            new LinkError.Rejected(
                "frame truncated: got " + answer.length + " of " + length + " bytes"))
        : codec.decode(answer);
  }
}
