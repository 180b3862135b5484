package org.parsleycart.decision.protection;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides the memory that clients may make a daemon hold. Each share has a guaranteed part that the
 * other shares never take; the rest goes to whichever share asks for it first. What all shares hold
 * with permission never exceeds the budget. Thread-safe.
 */
public final class MemoryBudget {
  private final long maximumBytes;
  private final List<Share> shares = new ArrayList<>();

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
    Share share = new Share(guaranteedBytes);
    shares.add(share);
    if (committedBytes() > maximumBytes) {
      throw new IllegalArgumentException(
          "the guarantees of all shares exceed the budget of " + maximumBytes + " bytes");
    }
    return share;
  }

  private long committedBytes() {
    return shares.stream().mapToLong(Share::committedBytes).sum();
  }

  /** The part of a budget that belongs to one group of clients. */
  public final class Share {
    private final long guaranteedBytes;
    private long heldBytes;

    private Share(long guaranteedBytes) {
      this.guaranteedBytes = guaranteedBytes;
    }

    private long committedBytes() {
      return Math.max(heldBytes, guaranteedBytes);
    }

    /** Reserves bytes. Returns false, and reserves nothing, if they exceed what is left. */
    public boolean tryHold(long bytes) {
      synchronized (MemoryBudget.this) {
        heldBytes += bytes;
        boolean isHeld = !isExceeded();
        heldBytes -= isHeld ? 0 : bytes;
        return isHeld;
      }
    }

    /** Records bytes that are held whether they are permitted or not. */
    public void hold(long bytes) {
      synchronized (MemoryBudget.this) {
        heldBytes += bytes;
      }
    }

    /** Records that bytes are no longer held. */
    public void release(long bytes) {
      hold(-bytes);
    }

    /** Returns whether the share holds more than it is guaranteed while the budget is used up. */
    public boolean isExceeded() {
      synchronized (MemoryBudget.this) {
        return heldBytes > guaranteedBytes && MemoryBudget.this.committedBytes() > maximumBytes;
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
