package org.parsleycart.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * A table with a schedule of faults: some operations succeed, and a number after them are faulty.
 */
final class FaultyTable implements TransactionalTable {
  private final TransactionalTable delegate;
  private Fault fault = Fault.NONE;
  private int remainingBeforeFault;
  private int remainingFaulty;
  private Runnable concurrentWriter = () -> {};

  /** The effect of a faulty operation. */
  enum Fault {
    NONE,
    /** The request does not reach the table. */
    UNREACHABLE,
    /** The request does not reach the table, and the caller cannot detect this. */
    REQUEST_LOST,
    /** The operation takes effect, and its answer is lost. */
    ANSWER_LOST,
    /** Another writer runs just before the operation. */
    CONCURRENT_WRITE
  }

  FaultyTable(TransactionalTable delegate) {
    this.delegate = delegate;
  }

  /**
   * Schedules a fault.
   *
   * @param successfulOperations the number of operations before the first faulty one
   * @param faultyOperations the number of faulty operations
   */
  void scheduleFault(
      Fault newFault,
      int successfulOperations,
      int faultyOperations,
      Runnable newConcurrentWriter) {
    fault = newFault;
    remainingBeforeFault = successfulOperations;
    remainingFaulty = faultyOperations;
    concurrentWriter = newConcurrentWriter;
  }

  private <T> Either<PlatformError, T> perform(Supplier<Either<PlatformError, T>> operation) {
    if (remainingBeforeFault > 0) {
      remainingBeforeFault--;
      return operation.get();
    }
    if (remainingFaulty <= 0) {
      return operation.get();
    }
    remainingFaulty--;
    return switch (fault) {
      case NONE -> operation.get();
      case UNREACHABLE -> Either.left(new PlatformError.Unreachable("test"));
      case REQUEST_LOST -> Either.left(new PlatformError.NoAnswer("test"));
      case ANSWER_LOST -> {
        Either<PlatformError, T> result = operation.get();
        yield Either.left(new PlatformError.NoAnswer("lost: " + result));
      }
      case CONCURRENT_WRITE -> {
        concurrentWriter.run();
        yield operation.get();
      }
    };
  }

  @Override
  public Either<PlatformError, Optional<Row>> read(String key) {
    return perform(() -> delegate.read(key));
  }

  @Override
  public Either<PlatformError, Boolean> insertIfAbsent(String key, byte[] value) {
    return perform(() -> delegate.insertIfAbsent(key, value));
  }

  @Override
  public Either<PlatformError, Boolean> compareAndSet(String key, long revision, byte[] value) {
    return perform(() -> delegate.compareAndSet(key, revision, value));
  }

  @Override
  public Either<PlatformError, Boolean> delete(String key, long revision) {
    return perform(() -> delegate.delete(key, revision));
  }

  @Override
  public Either<PlatformError, List<Row>> scan(String prefix, String after, int limit) {
    return perform(() -> delegate.scan(prefix, after, limit));
  }
}
