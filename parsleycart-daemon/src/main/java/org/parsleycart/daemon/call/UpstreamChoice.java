package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.parsleycart.decision.membership.RendezvousHash;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.CandidatePool;
import org.parsleycart.decision.routing.VersionChoice;
import org.parsleycart.model.Service;

/** Chooses the upstream for each attempt of a call. Confined to the thread of the call. */
final class UpstreamChoice {
  private final EntryDependencies dependencies;
  private final RoutedRequest request;
  private final Optional<String> idempotencyKey;
  private final Set<String> tried = new LinkedHashSet<>();

  // -- construction

  private UpstreamChoice(
      EntryDependencies dependencies, RoutedRequest request, Optional<String> idempotencyKey) {
    this.dependencies = requireNonNull(dependencies, "dependencies is null");
    this.request = requireNonNull(request, "request is null");
    this.idempotencyKey = requireNonNull(idempotencyKey, "idempotencyKey is null");
  }

  /**
   * Creates a choice for a request. If the request must run at most once, whichever entry receives
   * it, its idempotency key decides.
   */
  static UpstreamChoice of(
      EntryDependencies dependencies, HttpServerExchange exchange, RoutedRequest request) {
    Optional<String> key =
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(CallHeaders.IDEMPOTENCY_KEY))
            .filter(unused -> !request.contract().requestKind().isIdempotent());
    return new UpstreamChoice(dependencies, request, key);
  }

  // -- decision

  /** Chooses the next upstream and records it as tried. Returns empty if none is left. */
  Optional<Candidate> next() {
    Service service = request.service();
    RandomGenerator versionRandom =
        idempotencyKey
            .<RandomGenerator>map(key -> new SplittableRandom(key.hashCode()))
            .orElseGet(dependencies.random());
    VersionChoice choice =
        VersionChoice.of(
            request.configuration(), service, dependencies.state().facts(), versionRandom);
    Optional<Candidate> candidate =
        choice.firstOf(dependencies.state().directory(), service.name(), this::choose);
    candidate.ifPresent(chosen -> tried.add(chosen.identifier()));
    return candidate;
  }

  /**
   * Chooses by load. A request with an idempotency key always gets the same upstream, and only
   * once.
   */
  private Optional<Candidate> choose(CandidatePool pool) {
    if (idempotencyKey.isPresent()) {
      Optional<String> owner =
          RendezvousHash.owner(pool.all().map(Candidate::identifier), idempotencyKey.get());
      return tried.isEmpty()
          ? pool.all()
              .filter(candidate -> owner.equals(Optional.of(candidate.identifier())))
              .findFirst()
          : Optional.empty();
    }
    return dependencies
        .selection()
        .choose(
            pool,
            tried,
            dependencies.clock().instant(),
            request.deadline(),
            dependencies.random().get());
  }

  // -- queries

  /** Returns the identifiers of the upstreams tried so far, in order. */
  Set<String> tried() {
    return Collections.unmodifiableSet(tried);
  }
}
