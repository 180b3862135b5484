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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.parsleycart.link.Addresses;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/**
 * An upstream that answers after the time of its model, counts what it ran, and fails or slows down
 * on demand.
 */
public final class UpstreamStandin implements AutoCloseable {
  private static final Duration NEW_CONNECTION_COST = Duration.ofMillis(1);
  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
  private static final AttachmentKey<Boolean> KNOWN_CONNECTION =
      AttachmentKey.create(Boolean.class);

  private final String name;
  private final String version;
  private final UpstreamModel model;
  private final Undertow server;
  private final LongAdder answered = new LongAdder();
  private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();
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

  /** Starts an upstream; port 0 takes any free port. */
  public static UpstreamStandin start(
      String name, String version, UpstreamModel model, InetSocketAddress address) {
    UpstreamStandin standin = new UpstreamStandin(name, version, model, address);
    standin.server.start();
    return standin;
  }

  /** Returns a model with the given slots and latency that needs no time to warm up. */
  public static UpstreamModel warmModel(int slots, Duration latency) {
    return new UpstreamModel(slots, latency, Duration.ZERO, InstantSource.system());
  }

  // -- control

  /** Returns the address, {@code host:port}. */
  public String address() {
    return Addresses.format((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
  }

  /** Makes every request fail, or no more. */
  public void setFailing(boolean nowFailing) {
    failing = nowFailing;
  }

  /** Adds latency to every request. */
  public void setExtraLatency(Duration extra) {
    extraLatency = requireNonNull(extra, "extra is null");
  }

  /** Returns the model. */
  public UpstreamModel model() {
    return model;
  }

  /** Returns how many requests were answered. */
  public long answered() {
    return answered.sum();
  }

  /** Returns how many idempotency keys ran more than once. */
  public long keysRunTwice() {
    return runsByKey.values().stream().filter(runs -> runs.get() > 1).count();
  }

  @Override
  public void close() {
    server.stop();
  }

  // -- requests

  private void handle(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes((received, bytes) -> run(received, bytes.length));
  }

  private void run(HttpServerExchange exchange, int bodyLength) {
    String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
    if (key != null) {
      runsByKey.computeIfAbsent(key, unused -> new AtomicInteger()).incrementAndGet();
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
    boolean known = exchange.getConnection().getAttachment(KNOWN_CONNECTION) != null;
    exchange.getConnection().putAttachment(KNOWN_CONNECTION, true);
    return known ? Duration.ZERO : NEW_CONNECTION_COST;
  }

  private void answer(HttpServerExchange exchange, int bodyLength, boolean overloaded) {
    model.end();
    answered.increment();
    boolean failed = failing || overloaded;
    exchange.setStatusCode(failed ? StatusCodes.INTERNAL_SERVER_ERROR : StatusCodes.OK);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
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
