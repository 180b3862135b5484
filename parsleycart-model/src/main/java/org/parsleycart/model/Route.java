package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * Leads the paths below a prefix to a service under a contract.
 *
 * @param name the name
 * @param pathPrefix the prefix, from {@code /} on; whole path segments are compared
 * @param service the name of the service
 * @param contract the name of the contract
 * @param daemons the daemons that answer for this route, chosen by their labels
 */
public record Route(
    String name, String pathPrefix, String service, String contract, Selector daemons)
    implements Resource {

  // -- construction

  public Route {
    requireNonNull(name, "name is null");
    requireNonNull(pathPrefix, "pathPrefix is null");
    requireNonNull(service, "service is null");
    requireNonNull(contract, "contract is null");
    requireNonNull(daemons, "daemons is null");
  }

  static Route from(MappingReader reader) {
    String prefix = reader.requiredText("pathPrefix");
    if (!prefix.startsWith("/")) {
      reader.report("pathPrefix", "\"" + prefix + "\"", "a path that starts with /");
    }
    return new Route(
        reader.requiredName("name"),
        prefix,
        reader.requiredName("service"),
        reader.requiredName("contract"),
        Selector.from(reader, "daemons"));
  }

  // -- queries

  /** Returns whether the path lies at or below the prefix. */
  public boolean covers(String path) {
    requireNonNull(path, "path is null");
    if (!path.startsWith(pathPrefix)) {
      return false;
    }
    return path.length() == pathPrefix.length()
        || pathPrefix.endsWith("/")
        || path.charAt(pathPrefix.length()) == '/';
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.ROUTE;
  }

  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping()
            .with("name", name)
            .with("pathPrefix", pathPrefix)
            .with("service", service)
            .with("contract", contract);
    return daemons.addTo(builder, "daemons").build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    Stream<Violation> missingService =
        configuration.service(service).isPresent()
            ? Stream.empty()
            : Stream.of(violation("the service \"" + service + "\"", "a service that exists"));
    Stream<Violation> missingContract =
        configuration.contract(contract).isPresent()
            ? Stream.empty()
            : Stream.of(violation("the contract \"" + contract + "\"", "a contract that exists"));
    Stream<Violation> samePrefix =
        configuration.routeLike(this).stream()
            .filter(other -> !other.name().equals(name))
            .map(other -> violation("the prefix of " + other.reference(), "a prefix of its own"));
    return Stream.of(missingService, missingContract, samePrefix).flatMap(each -> each);
  }
}
