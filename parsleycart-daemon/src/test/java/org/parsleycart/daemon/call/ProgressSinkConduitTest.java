package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.conduits.StreamSinkConduit;

/** Guards against large writes from the heap, for which the runtime takes as much direct memory. */
class ProgressSinkConduitTest {
  private static final int MAXIMUM_WRITE_BYTES = 64 * 1024;

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private int acceptedPerWrite = Integer.MAX_VALUE;
  private long largestWrite;
  private boolean isFinal;
  private final ProgressSinkConduit conduit = new ProgressSinkConduit(sink());

  private StreamSinkConduit sink() {
    return (StreamSinkConduit)
        Proxy.newProxyInstance(
            StreamSinkConduit.class.getClassLoader(),
            new Class<?>[] {StreamSinkConduit.class},
            (proxy, method, arguments) -> {
              isFinal |= method.getName().equals("writeFinal");
              if (arguments.length == 1) {
                return Math.toIntExact(accept((ByteBuffer) arguments[0]));
              }
              return accept((ByteBuffer[]) arguments[0]);
            });
  }

  private long accept(ByteBuffer... sources) {
    int offered = Arrays.stream(sources).mapToInt(ByteBuffer::remaining).sum();
    largestWrite = Math.max(largestWrite, offered);
    int left = Math.min(acceptedPerWrite, offered);
    for (ByteBuffer source : sources) {
      int count = Math.min(left, source.remaining());
      byte[] bytes = new byte[count];
      source.get(bytes);
      written.writeBytes(bytes);
      left -= count;
    }
    return Math.min(acceptedPerWrite, offered);
  }

  private static byte[] bytes(int count, int seed) {
    byte[] bytes = new byte[count];
    for (int index = 0; index < count; index++) {
      bytes[index] = (byte) (index * 31 + index / 256 + seed);
    }
    return bytes;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 1_000, MAXIMUM_WRITE_BYTES, MAXIMUM_WRITE_BYTES + 1, 300_000})
  void shouldWriteAllInBoundedPartsWhenBuffersAreLarge(int size) throws IOException {
    acceptedPerWrite = 50_000;
    ByteBuffer head = ByteBuffer.wrap(bytes(200, 1));
    ByteBuffer body = ByteBuffer.wrap(bytes(size, 2));
    ByteBuffer[] sources = {head, body, ByteBuffer.allocate(0)};
    while (body.hasRemaining()) {
      conduit.writeFinal(sources, 0, sources.length);
    }

    ByteArrayOutputStream expected = new ByteArrayOutputStream();
    expected.writeBytes(bytes(200, 1));
    expected.writeBytes(bytes(size, 2));
    assertThat(written.toByteArray()).isEqualTo(expected.toByteArray());
    assertThat(largestWrite).isLessThanOrEqualTo(MAXIMUM_WRITE_BYTES);
    assertThat(conduit.totalBytes()).isEqualTo(200L + size);
    assertThat(conduit.isBlocked()).isFalse();
  }

  @Test
  void shouldNotEndTheStreamWhenOnlyAPartIsWritten() throws IOException {
    ByteBuffer body = ByteBuffer.wrap(bytes(100_000, 3));

    conduit.writeFinal(body);
    assertThat(isFinal).isFalse();
    conduit.writeFinal(body);
    assertThat(isFinal).isTrue();
    assertThat(written.toByteArray()).isEqualTo(bytes(100_000, 3));
  }

  @Test
  void shouldBeBlockedWhenAPartIsNotAccepted() throws IOException {
    acceptedPerWrite = 10;

    conduit.write(ByteBuffer.wrap(bytes(100_000, 4)));

    assertThat(conduit.isBlocked()).isTrue();
  }
}
