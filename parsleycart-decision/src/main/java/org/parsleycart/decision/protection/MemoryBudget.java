package org.parsleycart.decision.protection;

/**
 * Divides the memory that clients may make a daemon hold. Each share has a guaranteed part that the
 * other shares never take; the rest goes to whichever share asks for it first. What all shares hold
 * with permission never exceeds the budget. Thread-safe.
 */
public final class MemoryBudget {
  private final long maximumBytes;
  private long committedBytes;

  // -- construction

  /**
   * Creates a budget without shares.
   *
   * @param maximumBytes the bytes that all shares may hold together
   */
  public MemoryBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Adds a share.
   *
   * @param guaranteedBytes the bytes that no other share takes
   * @throws IllegalArgumentException if the guarantees exceed the budget
   */
  public synchronized Share addShare(long guaranteedBytes) {
    if (committedBytes + guaranteedBytes > maximumBytes) {
      throw new IllegalArgumentException(
          "the guarantees of all shares exceed the budget of " + maximumBytes + " bytes");
    }
    committedBytes += guaranteedBytes;
    return new Share(guaranteedBytes);
  }

  /** The part of a budget that belongs to one group of clients. */
  public final class Share {
    private final long guaranteedBytes;
    private long heldBytes;

    private Share(long guaranteedBytes) {
      this.guaranteedBytes = guaranteedBytes;
    }

    /** Changes what is held, and what the share keeps from the others: at least its guarantee. */
    private void add(long bytes) {
      committedBytes -= Math.max(heldBytes, guaranteedBytes);
      heldBytes += bytes;
      committedBytes += Math.max(heldBytes, guaranteedBytes);
    }

    /** Reserves bytes. Returns false, and reserves nothing, if they exceed what is left. */
    public boolean tryHold(long bytes) {
      synchronized (MemoryBudget.this) {
        add(bytes);
        boolean isHeld = !isExceeded();
        add(isHeld ? 0 : -bytes);
        return isHeld;
      }
    }

    /** Records bytes that are held whether they are permitted or not. */
    public void hold(long bytes) {
      synchronized (MemoryBudget.this) {
        add(bytes);
      }
    }

    /** Records that bytes are no longer held. */
    public void release(long bytes) {
      hold(-bytes);
    }

    /** Returns whether the share holds more than it is guaranteed while the budget is used up. */
    public boolean isExceeded() {
      synchronized (MemoryBudget.this) {
        return heldBytes > guaranteedBytes && committedBytes > maximumBytes;
      }
    }

    /** Returns the bytes held. */
    public long heldBytes() {
      synchronized (MemoryBudget.this) {
        return heldBytes;
      }
    }
  }
}
