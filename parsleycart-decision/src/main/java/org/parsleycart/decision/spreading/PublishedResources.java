package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Publication;
import org.parsleycart.model.Resource;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.ResourceReference;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.Withdrawal;

/**
 * The resources that the rows of the platform state.
 *
 * <p>A platform that was restored from a copy has lost the writes that it confirmed since. What was
 * confirmed stays in force: a document until the platform holds one of the same generation or a
 * later one, a withdrawal or an order until the platform holds it again or operators have published
 * a later document without it, and the progress of a rollout until it is stored again.
 *
 * @param generation the generation of the document
 * @param document the resources of the document
 * @param withdrawals the zones out of service
 * @param rollouts the orders of rollouts with their stored progress
 */
public record PublishedResources(
    long generation,
    List<Resource> document,
    List<Withdrawal> withdrawals,
    List<Rollout> rollouts) {
  private static final Set<ResourceKind> KINDS_OUTSIDE_DOCUMENT =
      Set.of(
          ResourceKind.AVAILABILITY_ZONE,
          ResourceKind.WITHDRAWAL,
          ResourceKind.ROLLOUT,
          ResourceKind.PUBLICATION);

  // -- construction

  public PublishedResources {
    document = List.copyOf(document);
    withdrawals = List.copyOf(withdrawals);
    rollouts = List.copyOf(rollouts);
  }

  // -- decision

  /**
   * Returns the resources to put in force, with the {@link Publication} that names those of them
   * that the platform has lost.
   *
   * @param inForce the configuration in force
   * @param isRestored whether the platform was restored since that configuration was read
   */
  public List<Resource> toResources(Configuration inForce, boolean isRestored) {
    requireNonNull(inForce, "inForce is null");
    long newestGeneration = Math.max(generation, inForce.publication().generation());
    List<Resource> retained =
        Stream.<Resource>concat(
                retainedWithdrawals(inForce, isRestored), retainedRollouts(inForce, isRestored))
            .toList();
    Set<ResourceReference> references =
        retained.stream().map(Resource::reference).collect(Collectors.toSet());
    Stream<Resource> held =
        Stream.<Resource>concat(withdrawals.stream(), rollouts.stream())
            .filter(each -> !references.contains(each.reference()));
    return Stream.of(
            newestDocument(inForce),
            retained.stream(),
            held,
            Stream.<Resource>of(Publication.of(newestGeneration, references)))
        .flatMap(Function.identity())
        .toList();
  }

  /**
   * Returns whether the document in force is of a later generation than the one of the platform.
   */
  public boolean isDocumentLost(Configuration inForce) {
    return generation < inForce.publication().generation();
  }

  private Stream<Resource> newestDocument(Configuration inForce) {
    return isDocumentLost(inForce)
        ? inForce.allResources().filter(each -> !KINDS_OUTSIDE_DOCUMENT.contains(each.kind()))
        : document.stream();
  }

  private Stream<Withdrawal> retainedWithdrawals(Configuration inForce, boolean isRestored) {
    return lost(inForce, isRestored, Withdrawal.class)
        .filter(withdrawal -> !hasLaterDocument(inForce))
        .filter(withdrawal -> find(withdrawals, withdrawal).isEmpty());
  }

  private Stream<Rollout> retainedRollouts(Configuration inForce, boolean isRestored) {
    return lost(inForce, isRestored, Rollout.class)
        .filter(
            rollout ->
                find(rollouts, rollout)
                    .map(rollout::isFurtherThan)
                    .orElseGet(() -> !hasLaterDocument(inForce)));
  }

  /** Returns whether operators have written more than what the platform lost. */
  private boolean hasLaterDocument(Configuration inForce) {
    return generation > inForce.publication().generation();
  }

  /** Returns the resources in force that the platform may have lost. */
  private static <T extends Resource> Stream<T> lost(
      Configuration inForce, boolean isRestored, Class<T> type) {
    return inForce
        .allResources()
        .filter(type::isInstance)
        .map(type::cast)
        .filter(each -> isRestored || inForce.publication().isRetained(each));
  }

  private static <T extends Resource> Optional<T> find(List<T> resources, T sought) {
    return resources.stream()
        .filter(each -> each.reference().equals(sought.reference()))
        .findFirst();
  }
}
