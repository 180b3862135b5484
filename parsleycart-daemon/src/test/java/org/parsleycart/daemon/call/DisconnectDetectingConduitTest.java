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

/** Checks that disconnects are detected and that no byte of a pipelined request is lost. */
class DisconnectDetectingConduitTest {
  private final Deque<Integer> readResults = new ArrayDeque<>();
  private final AtomicInteger notifications = new AtomicInteger();
  private Optional<ReadReadyHandler> handler = Optional.empty();
  private final DisconnectDetectingConduit conduit =
      new DisconnectDetectingConduit(
          new ConduitStreamSourceChannel(Configurable.EMPTY, connection()));

  /**
   * Returns a connection whose reads return the queued results in order: a count of bytes, 0, or -1
   * at its end.
   */
  private StreamSourceConduit connection() {
    return (StreamSourceConduit)
        Proxy.newProxyInstance(
            StreamSourceConduit.class.getClassLoader(),
            new Class<?>[] {StreamSourceConduit.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("read")) {
                int count = readResults.isEmpty() ? 0 : readResults.poll();
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
    return conduit.read(ByteBuffer.allocate(100));
  }

  /** Occurs when a restarted daemon reads a request after its caller stopped waiting. */
  @Test
  void shouldNotifyAtOnceWhenCallerDisconnectedBeforeTheWatch() {
    readResults.add(-1);

    conduit.watch(notifications::incrementAndGet);

    assertThat(notifications).hasValue(1);
  }

  @Test
  void shouldNotifyOnceWhenCallerDisconnectsDuringTheWatch() {
    conduit.watch(notifications::incrementAndGet);
    assertThat(notifications).hasValue(0);
    readResults.add(-1);

    handler.orElseThrow().readReady();

    assertThat(notifications).hasValue(1);
  }

  @Test
  void shouldPassPipelinedBytesToServerWhenTheWatchEnds() throws IOException {
    readResults.add(7);
    conduit.watch(notifications::incrementAndGet);
    readResults.add(3);
    handler.orElseThrow().readReady();

    conduit.unwatch();

    assertThat(read()).isEqualTo(10);
    assertThat(read()).isZero();
    assertThat(notifications).hasValue(0);
  }

  @Test
  void shouldReadEndAfterPipelinedBytesWhenCallerDisconnects() throws IOException {
    readResults.add(7);
    conduit.watch(notifications::incrementAndGet);
    readResults.add(-1);
    handler.orElseThrow().readReady();
    conduit.unwatch();

    assertThat(read()).isEqualTo(7);
    assertThat(read()).isNegative();
    assertThat(notifications).hasValue(1);
  }
}
