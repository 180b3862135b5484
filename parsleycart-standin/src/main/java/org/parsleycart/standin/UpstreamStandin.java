package org.parsleycart.standin;

import static java.util.Objects.requireNonNull;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.parsleycart.link.Addresses;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;
import org.xnio.IoUtils;

/**
 * A stand-in for an upstream. It answers after the latency given by its model, counts the requests
 * it executed, and can be set to fail, to add latency, or to end under certain requests.
 */
public final class UpstreamStandin implements AutoCloseable {
  private static final Duration NEW_CONNECTION_COST = Duration.ofMillis(1);
  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

  /** An upstream that echoes this header keeps its connections for further calls. */
  private static final HttpString REQUEST_IDENTIFIER =
      new HttpString("X-Parsleycart-Request-Identifier");

  private static final AttachmentKey<Boolean> KNOWN_CONNECTION =
      AttachmentKey.create(Boolean.class);

  private final String name;
  private final String version;
  private final UpstreamModel model;
  private final Undertow server;
  private final LongAdder answered = new LongAdder();
  private final Map<String, AtomicInteger> executionsByKey = new ConcurrentHashMap<>();
  private volatile Optional<String> deadlyPath = Optional.empty();
  private volatile boolean failing;
  private volatile Duration extraLatency = Duration.ZERO;

  // -- construction

  private UpstreamStandin(
      String name, String version, UpstreamModel model, InetSocketAddress address) {
    this.name = name;
    this.version = version;
    this.model = model;
    this.server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getAddress().getHostAddress(), this::handle)
            .setIoThreads(1)
            .setWorkerThreads(1)
            .build();
  }

  /** Starts an upstream; port 0 selects any free port. */
  public static UpstreamStandin start(
      String name, String version, UpstreamModel model, InetSocketAddress address) {
    UpstreamStandin standin = new UpstreamStandin(name, version, model, address);
    standin.server.start();
    return standin;
  }

  /** Returns a model with the given slots and latency and without warm-up. */
  public static UpstreamModel warmModel(int slots, Duration latency) {
    return new UpstreamModel(slots, latency, Duration.ZERO, InstantSource.system());
  }

  // -- control

  /** Returns the address, {@code host:port}. */
  public String address() {
    return Addresses.format((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
  }

  /** Sets whether every request fails. */
  public void setFailing(boolean isFailing) {
    failing = isFailing;
  }

  /** Sets the text in the paths of requests under which the upstream ends, as if it crashed. */
  public void setDeadlyPath(Optional<String> text) {
    deadlyPath = requireNonNull(text, "text is null");
  }

  /** Sets the latency added to every request. */
  public void setExtraLatency(Duration extra) {
    extraLatency = requireNonNull(extra, "extra is null");
  }

  public UpstreamModel model() {
    return model;
  }

  /** Returns the number of requests answered so far. */
  public long answered() {
    return answered.sum();
  }

  /** Returns the number of idempotency keys that were executed more than once. */
  public long keysExecutedRepeatedly() {
    return executionsByKey.values().stream().filter(executions -> executions.get() > 1).count();
  }

  @Override
  public void close() {
    server.stop();
  }

  // -- requests

  private void handle(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes((received, bytes) -> execute(received, bytes.length));
  }

  private void execute(HttpServerExchange exchange, int bodyLength) {
    if (deadlyPath.filter(exchange.getRequestPath()::contains).isPresent()) {
      // Stopping the server waits for its threads, so it takes place outside them.
      new Thread(server::stop, "crash-of-" + name).start();
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
    if (key != null) {
      executionsByKey.computeIfAbsent(key, unused -> new AtomicInteger()).incrementAndGet();
    }
    UpstreamModel.Treatment treatment = model.start();
    Duration wait = treatment.latency().plus(extraLatency).plus(connectionCost(exchange));
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            exchange
                .getIoThread()
                .executeAfter(
                    () -> answer(exchange, bodyLength, treatment.failed()),
                    wait.toNanos(),
                    TimeUnit.NANOSECONDS));
  }

  private static Duration connectionCost(HttpServerExchange exchange) {
    boolean isKnown = exchange.getConnection().getAttachment(KNOWN_CONNECTION) != null;
    exchange.getConnection().putAttachment(KNOWN_CONNECTION, true);
    return isKnown ? Duration.ZERO : NEW_CONNECTION_COST;
  }

  private void answer(HttpServerExchange exchange, int bodyLength, boolean overloaded) {
    model.end();
    answered.increment();
    boolean failed = failing || overloaded;
    exchange.setStatusCode(failed ? StatusCodes.INTERNAL_SERVER_ERROR : StatusCodes.OK);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    Optional.ofNullable(exchange.getRequestHeaders().getFirst(REQUEST_IDENTIFIER))
        .ifPresent(echoed -> exchange.getResponseHeaders().put(REQUEST_IDENTIFIER, echoed));
    exchange.getResponseHeaders().put(new HttpString("X-Upstream"), name);
    exchange.getResponseHeaders().put(new HttpString("X-Version"), version);
    Document body =
        Document.mapping()
            .with("upstream", name)
            .with("version", version)
            .with("path", exchange.getRequestPath())
            .with("bytes", bodyLength)
            .build();
    exchange.getResponseSender().send(JsonDocuments.format(body));
  }
}
