package org.parsleycart.link.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Checks the responses on a client connection before the HTTP client reads them, and bounds the
 * bytes of each that are not part of its body: its head, the lines around chunks and the trailers.
 * The parsers of the HTTP client keep or skip all that they read, however much arrives.
 *
 * <p>A read fails once a response is malformed or has too many such bytes, and each later read
 * does, which ends the exchange and its connection. Bytes behind a response are withheld; the
 * connection cannot be used for another one. Confined to the input/output thread of the connection,
 * except for {@link #isReusable}.
 */
final class BoundedResponseConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  /** The size of a head in bytes, with all informational responses before it. */
  static final int MAXIMUM_HEAD_BYTES = 32 * 1024;

  /** Bytes between two bytes of a body, and after the last one: several buffers of a transfer. */
  static final int MAXIMUM_BYTES_WITHOUT_BODY = 128 * 1024;

  private final ResponseReader reader = new ResponseReader();
  private Optional<UnusableResponseException> failure = Optional.empty();
  private volatile boolean isReusable = true;
  private boolean isHeadExpected;
  private boolean isBodyExpected;
  private long bytesWithoutBody;
  private int remainingBytes;

  BoundedResponseConduit(StreamSourceConduit next) {
    super(next);
  }

  // -- events

  /**
   * Bounds what is read from now on, until the head of the next response is complete.
   *
   * @param isHeadRequest whether the method of the request is {@code HEAD}
   */
  void expectHead(boolean isHeadRequest) {
    isHeadExpected = true;
    isBodyExpected = false;
    remainingBytes = MAXIMUM_HEAD_BYTES;
    reader.expectResponse(isHeadRequest);
  }

  /** Records that the head is complete, and that a body may follow. */
  void completeHead() {
    isHeadExpected = false;
    isBodyExpected = true;
    bytesWithoutBody = 0;
  }

  /** Records that bytes of the body were read. */
  void recordBody() {
    bytesWithoutBody = 0;
  }

  // -- queries

  /** Returns whether all that has arrived belongs to responses. May be called by any thread. */
  boolean isReusable() {
    return isReusable;
  }

  // -- reading

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (failure.isPresent()) {
      throw failure.get();
    }
    try {
      return isHeadExpected ? readHead(target) : countWithoutBody(readResponse(target));
    } catch (UnusableResponseException e) {
      isReusable = false;
      failure = Optional.of(e);
      throw e;
    }
  }

  private int readHead(ByteBuffer target) throws IOException {
    if (remainingBytes == 0) {
      throw new OversizedResponseException("head larger than " + MAXIMUM_HEAD_BYTES + " bytes");
    }
    int limit = target.limit();
    target.limit(Math.min(limit, target.position() + remainingBytes));
    try {
      int count = readResponse(target);
      remainingBytes -= Math.max(0, count);
      return count;
    } finally {
      target.limit(limit);
    }
  }

  /** Reads bytes of the response; what follows it is withheld. */
  private int readResponse(ByteBuffer target) throws IOException {
    int start = target.position();
    int count = next.read(target);
    if (count <= 0) {
      return count;
    }
    int end = reader.read(target, start, start + count);
    if (end == start) {
      throw new MalformedResponseException("bytes that belong to no request");
    }
    isReusable &= end == start + count;
    target.position(end);
    return end - start;
  }

  private int countWithoutBody(int count) throws IOException {
    bytesWithoutBody += isBodyExpected ? Math.max(0, count) : 0;
    if (bytesWithoutBody > MAXIMUM_BYTES_WITHOUT_BODY) {
      throw new OversizedResponseException(
          "with over " + MAXIMUM_BYTES_WITHOUT_BODY + " bytes that are not part of its body");
    }
    return count;
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    for (int index = offset; index < offset + length; index++) {
      if (targets[index].hasRemaining()) {
        return read(targets[index]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
  }
}
