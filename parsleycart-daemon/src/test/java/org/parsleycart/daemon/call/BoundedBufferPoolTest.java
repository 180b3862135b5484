package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.connector.PooledByteBuffer;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.protection.MemoryBudget;

/** Guards against threads that wait for direct memory, and against buffers in use twice. */
class BoundedBufferPoolTest {
  private static final int BYTES = 1024;

  private final BoundedBufferPool pool = new BoundedBufferPool(BYTES, 3 * BYTES);

  private List<PooledByteBuffer> allocate(int count) {
    return Stream.generate(pool::allocate).limit(count).toList();
  }

  @Test
  void shouldProvideBuffersOnTheHeapWhenAllDirectOnesAreTaken() {
    List<PooledByteBuffer> buffers = allocate(5);

    assertThat(buffers)
        .extracting(each -> each.getBuffer().isDirect())
        .containsExactly(true, true, true, false, false);
    assertThat(buffers).allMatch(each -> each.getBuffer().remaining() == BYTES);
  }

  @Test
  void shouldProvideClearedDirectBuffersAgainWhenTheyAreReturned() {
    List<PooledByteBuffer> buffers = allocate(5);
    buffers.forEach(each -> each.getBuffer().position(7).limit(9));
    buffers.forEach(PooledByteBuffer::close);

    assertThat(allocate(4))
        .extracting(each -> each.getBuffer().isDirect())
        .containsExactly(true, true, true, false);
    assertThat(pool.allocate().getBuffer().remaining()).isEqualTo(BYTES);
  }

  @Test
  void shouldReturnBufferOnceWhenItIsClosedTwice() {
    PooledByteBuffer buffer = pool.allocate();
    buffer.close();
    buffer.close();

    assertThat(pool.allocate().getBuffer()).isNotSameAs(pool.allocate().getBuffer());
    assertThatThrownBy(buffer::getBuffer).isInstanceOf(IllegalStateException.class);
  }

  @Test
  void shouldChargeBuffersToTheAccountUntilTheyAreClosed() {
    MemoryBudget.Share heap = new MemoryBudget(BYTES).addShare(0);
    MemoryBudget.Share buffers = new MemoryBudget(BYTES).addShare(0);
    ConnectionAccount account = new ConnectionAccount(heap, buffers);
    AccountedBufferPool accounted = new AccountedBufferPool(pool, account);

    PooledByteBuffer first = accounted.allocate();
    assertThat(account.areBuffersExceeded()).isFalse();
    PooledByteBuffer second = accounted.allocate();
    assertThat(account.areBuffersExceeded()).isTrue();
    first.close();
    first.close();
    assertThat(account.heldBytes()).isEqualTo(BYTES);
    account.close();
    second.close();

    assertThat(buffers.heldBytes()).isZero();
  }
}
