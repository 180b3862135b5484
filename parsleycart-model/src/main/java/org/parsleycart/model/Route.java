package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * Routes requests below a path prefix to one service, or to several services by weight.
 *
 * @param host the host that a request must name, or empty for any host
 * @param pathPrefix the prefix, starting with {@code /}; only whole path segments match
 * @param destinations the services with their weights, at least one
 * @param contract the name of the contract that applies to the requests
 * @param daemons selects the daemons that serve this route by their labels
 * @param isPublic whether requests need no key of an organisation
 */
public record Route(
    String name,
    Optional<String> host,
    String pathPrefix,
    List<WeightedService> destinations,
    String contract,
    Selector daemons,
    boolean isPublic)
    implements Resource {
  private static final String SERVICE = "service";
  private static final String WEIGHTED_SERVICES = "weightedServices";
  private static final String PUBLIC = "public";

  // -- construction

  public Route {
    requireNonNull(name, "name is null");
    requireNonNull(host, "host is null");
    requireNonNull(pathPrefix, "pathPrefix is null");
    destinations = List.copyOf(destinations);
    requireNonNull(contract, "contract is null");
    requireNonNull(daemons, "daemons is null");
  }

  /** Creates a route that is not public. */
  public Route(
      String name,
      Optional<String> host,
      String pathPrefix,
      List<WeightedService> destinations,
      String contract,
      Selector daemons) {
    this(name, host, pathPrefix, destinations, contract, daemons, false);
  }

  /** Creates a route for any host to a single service. */
  public Route(String name, String pathPrefix, String service, String contract, Selector daemons) {
    this(
        name,
        Optional.empty(),
        pathPrefix,
        List.of(WeightedService.single(service)),
        contract,
        daemons);
  }

  static Route from(MappingReader reader) {
    String prefix = reader.requiredText("pathPrefix");
    if (!prefix.startsWith("/")) {
      reader.report("pathPrefix", "\"" + prefix + "\"", "a path that starts with /");
    }
    return new Route(
        reader.requiredName("name"),
        reader.text("host"),
        prefix,
        readDestinations(reader),
        reader.requiredName("contract"),
        Selector.from(reader, "daemons"),
        reader.flag(PUBLIC).orElse(false));
  }

  private static List<WeightedService> readDestinations(MappingReader reader) {
    if (!reader.has(WEIGHTED_SERVICES)) {
      return List.of(WeightedService.single(reader.requiredName(SERVICE)));
    }
    if (reader.has(SERVICE)) {
      reader.report(SERVICE, "both service and weightedServices", "only one of them");
    }
    reader.text(SERVICE);
    List<WeightedService> destinations =
        reader.nestedItems(WEIGHTED_SERVICES).stream().map(WeightedService::from).toList();
    if (destinations.stream().mapToLong(WeightedService::weight).sum() == 0) {
      reader.report(WEIGHTED_SERVICES, "no weight above 0", "at least one weight above 0");
    }
    return destinations;
  }

  // -- queries

  /** Returns whether the path equals the prefix or is below it. */
  public boolean matchesPath(String path) {
    requireNonNull(path, "path is null");
    if (!path.startsWith(pathPrefix)) {
      return false;
    }
    return path.length() == pathPrefix.length()
        || pathPrefix.endsWith("/")
        || path.charAt(pathPrefix.length()) == '/';
  }

  /** Returns whether the service is a destination of this route. */
  public boolean hasDestination(String service) {
    return destinations.stream().anyMatch(each -> each.service().equals(service));
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.ROUTE;
  }

  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping().with("name", name).with("pathPrefix", pathPrefix);
    host.ifPresent(value -> builder.with("host", value));
    if (destinations.equals(List.of(WeightedService.single(destinations.get(0).service())))) {
      builder.with(SERVICE, destinations.get(0).service());
    } else {
      builder.with(
          WEIGHTED_SERVICES,
          Document.sequence(destinations.stream().map(WeightedService::toDocument).toList()));
    }
    daemons.addTo(builder.with("contract", contract), "daemons");
    return isPublic ? builder.with(PUBLIC, true).build() : builder.build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    Stream<Violation> missingService =
        destinations.stream()
            .map(WeightedService::service)
            .filter(service -> configuration.service(service).isEmpty())
            .map(
                service -> violation("unknown service \"" + service + "\"", "an existing service"));
    Stream<Violation> missingContract =
        configuration.contract(contract).isPresent()
            ? Stream.empty()
            : Stream.of(violation("unknown contract \"" + contract + "\"", "an existing contract"));
    Stream<Violation> duplicateRoute =
        configuration.routeWithSameKey(this).stream()
            .filter(other -> !other.name().equals(name))
            .map(
                other ->
                    violation(
                        "the host, path prefix and daemons of " + other.reference(),
                        "a unique combination"));
    return Stream.of(missingService, missingContract, duplicateRoute).flatMap(each -> each);
  }
}
