package org.parsleycart.daemon.call;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.parsleycart.daemon.call.AttemptResult.Fault;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.link.http.BoundedConnection;
import org.parsleycart.link.http.UnusableResponseException;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.EmptyStreamSourceChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Executes one attempt: connects, sends the request, checks the head of the response and delivers
 * its body. All steps run on the input/output thread of the exchange.
 */
final class AttemptExecution {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  private final Attempt attempt;
  private final ConnectionPool pool;
  private final InstantSource clock;
  private BoundedConnection connection;
  private XnioExecutor.Key timer;
  private boolean isRequestSent;
  private boolean isDelivering;
  private boolean isEnded;
  private boolean isEchoed;
  private Duration maximumIdleTime = ConnectionPool.MAXIMUM_IDLE_TIME;

  // -- construction

  AttemptExecution(Attempt attempt, ConnectionPool pool, InstantSource clock) {
    this.attempt = attempt;
    this.pool = pool;
    this.clock = clock;
  }

  // -- connecting

  void start() {
    Duration remaining = remaining();
    if (remaining.isNegative() || remaining.isZero()) {
      end(AttemptResult.undelivered(AttemptOutcome.NOT_RUN, Fault.LATE));
      return;
    }
    Duration wait = remaining.compareTo(CONNECT_TIMEOUT) < 0 ? remaining : CONNECT_TIMEOUT;
    setTimer(wait, () -> end(AttemptResult.undelivered(AttemptOutcome.NOT_RUN, Fault.UNREACHABLE)));
    pool.acquire(
        attempt.address(),
        new ClientCallback<>() {
          @Override
          public void completed(BoundedConnection openedConnection) {
            connected(openedConnection);
          }

          @Override
          public void failed(IOException cause) {
            end(AttemptResult.undelivered(AttemptOutcome.NOT_RUN, Fault.UNREACHABLE));
          }
        });
  }

  private void connected(BoundedConnection openedConnection) {
    if (isEnded) {
      pool.release(attempt.address(), openedConnection, maximumIdleTime);
      return;
    }
    connection = openedConnection;
    setTimer(remaining(), this::deadlinePassed);
    connection.send(
        request(),
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange exchange) {
            send(exchange);
          }

          @Override
          public void failed(IOException cause) {
            end(AttemptResult.undelivered(AttemptOutcome.UNKNOWN, Fault.BROKEN));
          }
        });
  }

  private ClientRequest request() {
    HttpServerExchange exchange = attempt.exchange();
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    ClientRequest request =
        new ClientRequest().setMethod(exchange.getRequestMethod()).setPath(path);
    HeaderMap headers = request.getRequestHeaders();
    CallHeaders.copyEndToEnd(
        exchange.getRequestHeaders(), headers, attempt.hop().replacedHeaders());
    attempt.headers().forEach(headers::put);
    headers.put(attempt.hop().identifierHeader(), attempt.requestIdentifier());
    if (!headers.contains(Headers.HOST)) {
      headers.put(Headers.HOST, attempt.address());
    }
    if (attempt.body() instanceof RequestBody.Buffered buffered) {
      headers.put(Headers.CONTENT_LENGTH, buffered.length());
    } else if (!headers.contains(Headers.CONTENT_LENGTH)) {
      headers.put(Headers.TRANSFER_ENCODING, "chunked");
    }
    return request;
  }

  // -- sending

  private void send(ClientExchange exchange) {
    exchange.setResponseListener(
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange answeredExchange) {
            connection.headReceived();
            receive(answeredExchange);
          }

          @Override
          public void failed(IOException cause) {
            responseFailed(cause);
          }
        });
    attempt
        .body()
        .writeTo(
            exchange.getRequestChannel(),
            callerBuffers(),
            new BodyTransfer.Listener() {
              @Override
              public void completed() {
                isRequestSent = true;
              }

              @Override
              public void sourceFailed(IOException cause) {
                callerDisconnected();
              }

              @Override
              public void sinkFailed(IOException cause) {
                // The upstream may have responded early: its response, or the closed connection,
                // ends the attempt.
                IoUtils.safeClose(isEnded ? null : connection);
              }
            });
  }

  // -- receiving

  private void receive(ClientExchange answeredExchange) {
    if (isEnded) {
      return;
    }
    ClientResponse response = answeredExchange.getResponse();
    maximumIdleTime = ConnectionPool.maximumIdleTime(response);
    isEchoed = response.getResponseHeaders().contains(attempt.hop().identifierHeader());
    boolean isFramingAccepted =
        attempt.hop().allowsUnframedResponse()
            || ResponseFraming.isFramed(attempt.exchange(), response);
    boolean isUsable = isFramingAccepted && ResponseFraming.isFinal(response);
    if (belongsToAnotherRequest(response) || !isUsable) {
      endAndClose(AttemptResult.undelivered(AttemptOutcome.UNKNOWN, Fault.UNUSABLE));
      return;
    }
    Optional<AttemptResult> withheld = attempt.listener().intercept(response);
    if (withheld.isPresent()) {
      releaseUnread(answeredExchange, response);
      end(withheld.get());
      return;
    }
    deliver(answeredExchange, response);
  }

  /** Keeps the connection if the withheld response echoes the call and has no body. */
  private void releaseUnread(ClientExchange answeredExchange, ClientResponse response) {
    boolean isEmpty = "0".equals(response.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH));
    if (isEchoed && isEmpty && isRequestSent && isAtEnd(answeredExchange.getResponseChannel())) {
      pool.release(attempt.address(), connection, maximumIdleTime);
    } else {
      connection.abandon();
    }
  }

  private static boolean isAtEnd(StreamSourceChannel channel) {
    try {
      return channel.read(ByteBuffer.allocate(1)) < 0;
    } catch (IOException e) {
      return false;
    }
  }

  private boolean belongsToAnotherRequest(ClientResponse response) {
    String echoedIdentifier =
        response.getResponseHeaders().getFirst(attempt.hop().identifierHeader());
    return echoedIdentifier == null
        ? attempt.hop().requiresEcho()
        : !echoedIdentifier.equals(attempt.requestIdentifier());
  }

  private void deliver(ClientExchange answeredExchange, ClientResponse response) {
    isDelivering = true;
    HttpServerExchange exchange = attempt.exchange();
    exchange.setStatusCode(response.getResponseCode());
    HeaderMap headers = exchange.getResponseHeaders();
    CallHeaders.copyEndToEnd(response.getResponseHeaders(), headers);
    ResponseFraming.frame(exchange, response);
    attempt.listener().beforeDelivery(exchange);
    OptionalInt status = OptionalInt.of(response.getResponseCode());
    boolean isBodyAwaited = ResponseFraming.isLengthWithoutBody(response);
    BodyTransfer.start(
        isBodyAwaited
            ? new EmptyStreamSourceChannel(exchange.getIoThread())
            : answeredExchange.getResponseChannel(),
        exchange.getResponseChannel(),
        callerBuffers(),
        connection::bodyReceived,
        new BodyTransfer.Listener() {
          @Override
          public void completed() {
            delivered(status, isBodyAwaited);
          }

          @Override
          public void sourceFailed(IOException cause) {
            logIfRejected(cause);
            endAndClose(new AttemptResult(AttemptOutcome.UNKNOWN, true, Fault.BROKEN, status));
            ResponseFraming.abort(exchange);
          }

          @Override
          public void sinkFailed(IOException cause) {
            callerDisconnected();
          }
        });
  }

  /** Returns the pool that charges what is in transfer to the caller, who may stop reading it. */
  private ByteBufferPool callerBuffers() {
    return attempt.exchange().getConnection().getByteBufferPool();
  }

  private void delivered(OptionalInt status, boolean isBodyAwaited) {
    AttemptResult result = new AttemptResult(AttemptOutcome.ANSWERED, true, Fault.NONE, status);
    if (isBodyAwaited) {
      endAndClose(result);
      return;
    }
    if (!isEnded && isRequestSent && isEchoed) {
      pool.release(attempt.address(), connection, maximumIdleTime);
    } else if (!isEnded) {
      connection.abandon();
    }
    end(result);
  }

  // -- failing

  /** Aborts the attempt because the caller disconnected, and closes its connections. */
  void cancel() {
    if (!isEnded) {
      callerDisconnected();
    }
  }

  private void responseFailed(IOException cause) {
    Fault fault = cause instanceof UnusableResponseException ? Fault.UNUSABLE : Fault.BROKEN;
    logIfRejected(cause);
    endAndClose(AttemptResult.undelivered(AttemptOutcome.UNKNOWN, fault));
  }

  private void logIfRejected(IOException cause) {
    if (!isEnded && cause instanceof UnusableResponseException) {
      Logger.warn(
          "response of {} to request {} rejected, outcome unknown: {}",
          attempt.address(),
          attempt.requestIdentifier(),
          cause.getMessage());
    }
  }

  private void callerDisconnected() {
    AttemptOutcome outcome = connection == null ? AttemptOutcome.NOT_RUN : AttemptOutcome.UNKNOWN;
    endAndClose(new AttemptResult(outcome, true, Fault.CALLER_GONE, OptionalInt.empty()));
    ResponseFraming.abort(attempt.exchange());
  }

  private void deadlinePassed() {
    if (isDelivering) {
      endAndClose(new AttemptResult(AttemptOutcome.UNKNOWN, true, Fault.LATE, OptionalInt.empty()));
      ResponseFraming.abort(attempt.exchange());
    } else {
      endAndClose(AttemptResult.undelivered(AttemptOutcome.UNKNOWN, Fault.LATE));
    }
  }

  /** Ends the attempt and closes its connection, so that the other side detects it immediately. */
  private void endAndClose(AttemptResult result) {
    end(
        () -> {
          if (connection != null) {
            connection.abandon();
          }
          attempt.listener().ended(result);
        });
  }

  private void end(AttemptResult result) {
    end(() -> attempt.listener().ended(result));
  }

  private void end(Runnable ending) {
    if (isEnded) {
      return;
    }
    isEnded = true;
    if (timer != null) {
      timer.remove();
    }
    ending.run();
  }

  // -- time

  private Duration remaining() {
    return Duration.between(clock.instant(), attempt.deadline());
  }

  private void setTimer(Duration wait, Runnable task) {
    if (timer != null) {
      timer.remove();
    }
    long milliseconds = Math.max(1, wait.toMillis());
    timer =
        attempt.exchange().getIoThread().executeAfter(task, milliseconds, TimeUnit.MILLISECONDS);
  }
}
