package org.parsleycart.model;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The organisations of one configuration, indexed by the digests of their keys: a hash table with
 * open addressing that refers to the digests which the organisations hold.
 */
final class KeyIndex {
  private static final KeyIndex EMPTY = new KeyIndex(List.of(), 0);

  /** An entry of {@link #owners} that refers to no organisation. */
  private static final int FREE = 0;

  private final List<Organisation> organisations;

  /** For each slot, the index of an organisation plus 1, or {@link #FREE}. */
  private final int[] owners;

  /** For each slot, the position of the digest among those of the organisation. */
  private final int[] positions;

  /** The names of organisations that share a key with an earlier one, and the name of that one. */
  private final Map<String, String> sharedWith = new HashMap<>();

  // -- construction

  private KeyIndex(List<Organisation> organisations, int keys) {
    this.organisations = organisations;
    // Two thirds of the slots are in use, which keeps probing short. One slot is always free.
    int slots = keys + keys / 2 + 1;
    this.owners = new int[slots];
    this.positions = new int[slots];
  }

  static KeyIndex of(Collection<Organisation> organisations) {
    if (organisations.isEmpty()) {
      return EMPTY;
    }
    int keys = organisations.stream().mapToInt(each -> each.keyDigests().size()).sum();
    KeyIndex index = new KeyIndex(List.copyOf(organisations), keys);
    for (int owner = 0; owner < index.organisations.size(); owner++) {
      index.add(owner);
    }
    return index;
  }

  private void add(int owner) {
    Organisation organisation = organisations.get(owner);
    KeyDigests digests = organisation.keyDigests();
    for (int position = 0; position < digests.size(); position++) {
      int slot = slotOf(digests.get(position));
      if (owners[slot] == FREE) {
        owners[slot] = owner + 1;
        positions[slot] = position;
      } else {
        sharedWith.putIfAbsent(organisation.name(), ownerAt(slot).name());
      }
    }
  }

  // -- queries

  /** Returns the organisation that has the key with the given digest. */
  Optional<Organisation> find(KeyDigest digest) {
    int slot = slotOf(digest);
    return owners[slot] == FREE ? Optional.empty() : Optional.of(ownerAt(slot));
  }

  /** Returns the name of an organisation, earlier by name, that has a key of the given one. */
  Optional<String> earlierOwnerOfKeyOf(Organisation organisation) {
    return Optional.ofNullable(sharedWith.get(organisation.name()));
  }

  private Organisation ownerAt(int slot) {
    return organisations.get(owners[slot] - 1);
  }

  /** Returns the slot that holds the digest, or the free slot at which the search for it ends. */
  private int slotOf(KeyDigest digest) {
    // The bits of a digest are uniformly distributed, so the upper half selects the first slot.
    int slot = (int) (((digest.high() >>> Integer.SIZE) * owners.length) >>> Integer.SIZE);
    while (owners[slot] != FREE && !ownerAt(slot).keyDigests().isAt(positions[slot], digest)) {
      slot = slot + 1 == owners.length ? 0 : slot + 1;
    }
    return slot;
  }
}
