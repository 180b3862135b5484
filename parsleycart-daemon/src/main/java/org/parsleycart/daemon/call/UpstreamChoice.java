package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.parsleycart.decision.membership.RendezvousHash;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.CandidatePool;
import org.parsleycart.decision.routing.UpstreamDirectory;
import org.parsleycart.decision.routing.VersionChoice;
import org.parsleycart.model.Service;

/** Chooses the upstreams of one call, one after the other. Used by the thread of the call. */
final class UpstreamChoice {
  private final EntryDependencies parts;
  private final RoutedRequest request;
  private final Optional<String> key;
  private final Set<String> tried = new LinkedHashSet<>();

  // -- construction

  /**
   * Creates the choice.
   *
   * @param parts what the entry works with
   * @param request the request
   * @param key the key of a request that must not run twice, whatever entry it comes to
   */
  UpstreamChoice(EntryDependencies parts, RoutedRequest request, Optional<String> key) {
    this.parts = requireNonNull(parts, "parts is null");
    this.request = requireNonNull(request, "request is null");
    this.key = requireNonNull(key, "key is null");
  }

  // -- decision

  /** Returns the upstream to try now, empty when there is none left; counts it as tried. */
  Optional<Candidate> next() {
    Service service = request.service();
    RandomGenerator versions =
        key.<RandomGenerator>map(each -> new SplittableRandom(each.hashCode()))
            .orElseGet(parts.random());
    VersionChoice choice =
        VersionChoice.of(request.configuration(), service, parts.state().facts(), versions);
    UpstreamDirectory directory = parts.state().directory();
    Optional<Candidate> candidate =
        choose(directory.pool(service.name(), choice.versions()))
            .or(
                () ->
                    choice
                        .fallback()
                        .flatMap(others -> choose(directory.pool(service.name(), others))));
    candidate.ifPresent(chosen -> tried.add(chosen.identifier()));
    return candidate;
  }

  /** Chooses by load, or, for a request that must not run twice, always the same upstream. */
  private Optional<Candidate> choose(CandidatePool pool) {
    if (key.isPresent()) {
      Optional<String> owner =
          RendezvousHash.owner(pool.all().map(Candidate::identifier), key.get());
      return tried.isEmpty()
          ? pool.all().filter(each -> owner.equals(Optional.of(each.identifier()))).findFirst()
          : Optional.empty();
    }
    return parts.selection().choose(pool, tried, parts.clock().instant(), parts.random().get());
  }

  // -- queries

  /** Returns the identifiers of the upstreams tried, in order. */
  Set<String> tried() {
    return Collections.unmodifiableSet(tried);
  }
}
