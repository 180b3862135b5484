package org.parsleycart.link.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.xnio.channels.Configurable;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/** Guards against one connection that keeps its thread while bytes arrive without a pause. */
class TurnConduitTest {
  private static final int TURN_BYTES = 100;

  private Optional<ReadReadyHandler> handler = Optional.empty();
  private final ConduitStreamSourceChannel channel =
      new ConduitStreamSourceChannel(Configurable.EMPTY, endlessConnection());
  private final TurnConduit conduit = new TurnConduit(channel, TURN_BYTES);

  /** Returns a connection on which every read fills the buffer with chunks of one byte. */
  private StreamSourceConduit endlessConnection() {
    return (StreamSourceConduit)
        Proxy.newProxyInstance(
            StreamSourceConduit.class.getClassLoader(),
            new Class<?>[] {StreamSourceConduit.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("read")) {
                ByteBuffer target = (ByteBuffer) arguments[0];
                int count = target.remaining();
                for (int index = 0; index < count; index++) {
                  target.put((byte) "1\r\nb\r\n".charAt(index % 6));
                }
                return count;
              }
              if (method.getName().equals("setReadReadyHandler")) {
                handler = Optional.of((ReadReadyHandler) arguments[0]);
              }
              return method.getReturnType() == boolean.class ? false : null;
            });
  }

  private int readAll() throws IOException {
    int total = 0;
    for (int count = 1; count > 0; total += count) {
      count = conduit.read(ByteBuffer.allocate(30));
    }
    return total;
  }

  @Test
  void shouldEndTheTurnWhenItsBytesAreRead() throws IOException {
    assertThat(readAll()).isEqualTo(TURN_BYTES);
    assertThat(conduit.totalBytes()).isEqualTo(TURN_BYTES);
  }

  @Test
  void shouldBeginTheNextTurnWhenTheConnectionIsReportedAgain() throws IOException {
    readAll();

    handler.orElseThrow().readReady();

    assertThat(readAll()).isEqualTo(TURN_BYTES);
  }

  /** A worker thread waits by itself; without a new turn it would wait for ever. */
  @Test
  void shouldBeginTheNextTurnWhenAReaderHasWaited() throws IOException {
    readAll();

    conduit.awaitReadable();

    assertThat(readAll()).isEqualTo(TURN_BYTES);
  }

  @Test
  void shouldApplyANewLengthToTheRestOfTheTurn() throws IOException {
    conduit.read(ByteBuffer.allocate(30));

    conduit.setBytesPerTurn(50);

    assertThat(readAll()).isEqualTo(20);
  }

  @Test
  void shouldCountEndsOfLinesWhenAsked() throws IOException {
    conduit.countLines(true);

    conduit.read(ByteBuffer.allocate(60));

    assertThat(conduit.countedBytes()).isEqualTo(60);
    assertThat(conduit.countedLines()).isEqualTo(20);
  }

  @Test
  void shouldFailEveryReadOnceItIsFailed() {
    conduit.fail();

    assertThatThrownBy(() -> conduit.read(ByteBuffer.allocate(1))).isInstanceOf(IOException.class);
  }
}
