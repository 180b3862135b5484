package org.parsleycart.daemon.call;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.parsleycart.daemon.call.AttemptResult.Fault;
import org.parsleycart.decision.AttemptOutcome;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * The progress of one attempt: connect, send the request, judge the head of the answer, deliver its
 * body. All steps run on the input/output thread of the exchange.
 */
final class AttemptExecution {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
  private static final int FIRST_BODYLESS_STATUS = 100;
  private static final int FIRST_FINAL_STATUS = 200;

  private final Attempt attempt;
  private final ConnectionPool pool;
  private final ByteBufferPool buffers;
  private final InstantSource clock;
  private ClientConnection connection;
  private XnioExecutor.Key timer;
  private boolean requestSent;
  private boolean delivering;
  private boolean ended;
  private Duration reusableFor = ConnectionPool.LONGEST_IDLE;

  // -- construction

  AttemptExecution(
      Attempt attempt, ConnectionPool pool, ByteBufferPool buffers, InstantSource clock) {
    this.attempt = attempt;
    this.pool = pool;
    this.buffers = buffers;
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
          public void completed(ClientConnection opened) {
            connected(opened);
          }

          @Override
          public void failed(IOException cause) {
            end(AttemptResult.undelivered(AttemptOutcome.NOT_RUN, Fault.UNREACHABLE));
          }
        });
  }

  private void connected(ClientConnection opened) {
    if (ended) {
      pool.release(attempt.address(), opened, reusableFor);
      return;
    }
    connection = opened;
    setTimer(remaining(), this::late);
    connection.sendRequest(
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
    if (attempt.body() instanceof RequestBody.Held held) {
      headers.put(Headers.CONTENT_LENGTH, held.length());
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
          public void completed(ClientExchange answered) {
            receive(answered);
          }

          @Override
          public void failed(IOException cause) {
            broken();
          }
        });
    attempt
        .body()
        .writeTo(
            exchange.getRequestChannel(),
            buffers,
            new BodyTransfer.Listener() {
              @Override
              public void completed() {
                requestSent = true;
              }

              @Override
              public void sourceFailed(IOException cause) {
                callerGone();
              }

              @Override
              public void sinkFailed(IOException cause) {
                // The upstream may have answered early; its answer or the broken connection tells.
                IoUtils.safeClose(ended ? null : connection);
              }
            });
  }

  // -- receiving

  private void receive(ClientExchange answered) {
    if (ended) {
      return;
    }
    ClientResponse response = answered.getResponse();
    reusableFor = ConnectionPool.maximumIdleTime(response);
    boolean usable = attempt.hop().allowsUnframedResponse() || isFramed(response);
    if (isOfAnotherRequest(response) || !usable) {
      endClosing(AttemptResult.undelivered(AttemptOutcome.UNKNOWN, Fault.UNUSABLE));
      return;
    }
    Optional<AttemptResult> withheld = attempt.listener().intercept(response);
    if (withheld.isPresent()) {
      giveBackUnread(answered, response);
      end(withheld.get());
      return;
    }
    deliver(answered, response);
  }

  /** Keeps the connection when the answer that is not delivered has no body, else closes it. */
  private void giveBackUnread(ClientExchange answered, ClientResponse response) {
    boolean empty = "0".equals(response.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH));
    if (empty && requestSent && isAtEnd(answered.getResponseChannel())) {
      pool.release(attempt.address(), connection, reusableFor);
    } else {
      pool.discard(connection);
    }
  }

  private static boolean isAtEnd(StreamSourceChannel channel) {
    try {
      return channel.read(ByteBuffer.allocate(1)) < 0;
    } catch (IOException e) {
      return false;
    }
  }

  private boolean isOfAnotherRequest(ClientResponse response) {
    String echoed = response.getResponseHeaders().getFirst(attempt.hop().identifierHeader());
    return echoed == null
        ? attempt.hop().requiresEcho()
        : !echoed.equals(attempt.requestIdentifier());
  }

  private boolean isFramed(ClientResponse response) {
    HeaderMap headers = response.getResponseHeaders();
    int status = response.getResponseCode();
    boolean bodyless =
        attempt.exchange().getRequestMethod().equals(Methods.HEAD)
            || status == StatusCodes.NO_CONTENT
            || status == StatusCodes.NOT_MODIFIED
            || (status >= FIRST_BODYLESS_STATUS && status < FIRST_FINAL_STATUS);
    return bodyless
        || headers.contains(Headers.CONTENT_LENGTH)
        || headers.contains(Headers.TRANSFER_ENCODING);
  }

  private void deliver(ClientExchange answered, ClientResponse response) {
    delivering = true;
    HttpServerExchange exchange = attempt.exchange();
    exchange.setStatusCode(response.getResponseCode());
    HeaderMap headers = exchange.getResponseHeaders();
    CallHeaders.copyEndToEnd(response.getResponseHeaders(), headers);
    attempt.listener().beforeDelivery(exchange);
    OptionalInt status = OptionalInt.of(response.getResponseCode());
    BodyTransfer.start(
        answered.getResponseChannel(),
        exchange.getResponseChannel(),
        buffers,
        new BodyTransfer.Listener() {
          @Override
          public void completed() {
            delivered(status);
          }

          @Override
          public void sourceFailed(IOException cause) {
            endClosing(new AttemptResult(AttemptOutcome.UNKNOWN, true, Fault.BROKEN, status));
            IoUtils.safeClose(exchange.getConnection());
          }

          @Override
          public void sinkFailed(IOException cause) {
            callerGone();
          }
        });
  }

  private void delivered(OptionalInt status) {
    if (!ended && requestSent) {
      pool.release(attempt.address(), connection, reusableFor);
    } else if (!ended) {
      pool.discard(connection);
    }
    end(new AttemptResult(AttemptOutcome.ANSWERED, true, Fault.NONE, status));
  }

  // -- failing

  /** Stops the attempt because its caller has gone; the other side sees its connection closed. */
  void cancel() {
    if (!ended) {
      callerGone();
    }
  }

  private void broken() {
    endClosing(AttemptResult.undelivered(AttemptOutcome.UNKNOWN, Fault.BROKEN));
  }

  private void callerGone() {
    endClosing(
        new AttemptResult(AttemptOutcome.UNKNOWN, true, Fault.CALLER_GONE, OptionalInt.empty()));
    IoUtils.safeClose(attempt.exchange().getConnection());
  }

  private void late() {
    if (delivering) {
      endClosing(new AttemptResult(AttemptOutcome.UNKNOWN, true, Fault.LATE, OptionalInt.empty()));
      IoUtils.safeClose(attempt.exchange().getConnection());
    } else {
      endClosing(AttemptResult.undelivered(AttemptOutcome.UNKNOWN, Fault.LATE));
    }
  }

  /** Ends the attempt and closes its connection, which tells at once that the exchange broke. */
  private void endClosing(AttemptResult result) {
    end(
        () -> {
          if (connection != null) {
            pool.discard(connection);
          }
          attempt.listener().ended(result);
        });
  }

  private void end(AttemptResult result) {
    end(() -> attempt.listener().ended(result));
  }

  private void end(Runnable ending) {
    if (ended) {
      return;
    }
    ended = true;
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
