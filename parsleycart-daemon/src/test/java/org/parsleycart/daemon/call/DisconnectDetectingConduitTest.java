package org.parsleycart.daemon.call;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.xnio.channels.Configurable;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/** The end of a caller's connection is noticed, and no byte of its next request is lost. */
class DisconnectDetectingConduitTest {
  private final Deque<Integer> results = new ArrayDeque<>();
  private final AtomicInteger told = new AtomicInteger();
  private Optional<ReadReadyHandler> handler = Optional.empty();
  private final DisconnectDetectingConduit source =
      new DisconnectDetectingConduit(
          new ConduitStreamSourceChannel(Configurable.EMPTY, connection()));

  /** A connection whose reads give, one after the other, so many bytes, nothing, or the end. */
  private StreamSourceConduit connection() {
    return (StreamSourceConduit)
        Proxy.newProxyInstance(
            StreamSourceConduit.class.getClassLoader(),
            new Class<?>[] {StreamSourceConduit.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("read")) {
                int count = results.isEmpty() ? 0 : results.poll();
                if (count > 0) {
                  ((ByteBuffer) arguments[0]).put("x".repeat(count).getBytes(US_ASCII));
                }
                return count;
              }
              if (method.getName().equals("setReadReadyHandler")) {
                handler = Optional.of((ReadReadyHandler) arguments[0]);
              }
              return method.getReturnType() == boolean.class ? false : null;
            });
  }

  private int read() throws IOException {
    return source.read(ByteBuffer.allocate(100));
  }

  /** As when a daemon that has just started finds a request that waited too long. */
  @Test
  void shouldTellAtOnceWhenTheCallerLeftBeforeItsRequestWasRead() {
    results.add(-1);

    source.watch(told::incrementAndGet);

    assertThat(told).hasValue(1);
  }

  @Test
  void shouldTellOnceWhenTheCallerLeavesLater() {
    source.watch(told::incrementAndGet);
    assertThat(told).hasValue(0);
    results.add(-1);

    handler.orElseThrow().readReady();

    assertThat(told).hasValue(1);
  }

  @Test
  void shouldHandThePipelinedBytesToTheServerAfterTheWatch() throws IOException {
    results.add(7);
    source.watch(told::incrementAndGet);
    results.add(3);
    handler.orElseThrow().readReady();

    source.unwatch();

    assertThat(read()).isEqualTo(10);
    assertThat(read()).isZero();
    assertThat(told).hasValue(0);
  }

  @Test
  void shouldShowTheEndBehindThePipelinedBytes() throws IOException {
    results.add(7);
    source.watch(told::incrementAndGet);
    results.add(-1);
    handler.orElseThrow().readReady();
    source.unwatch();

    assertThat(read()).isEqualTo(7);
    assertThat(read()).isNegative();
    assertThat(told).hasValue(1);
  }
}
