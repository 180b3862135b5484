package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Organisation;
import org.parsleycart.model.Route;
import org.parsleycart.model.Service;
import org.parsleycart.model.document.Document;

/**
 * A request of a caller for which a route was found.
 *
 * @param configuration the configuration in force when the request was received
 * @param contract the contract of the route
 * @param service the destination chosen among those of the route
 * @param organisation the organisation of the caller, empty if it has none
 * @param connectionWait how long the request lay on its connection behind earlier ones
 * @param isNested whether the upstream beside makes the request while it runs a call that needs it
 * @param deadline time after which a response is useless to the caller
 */
record RoutedRequest(
    String identifier,
    Configuration configuration,
    Route route,
    Contract contract,
    Service service,
    Optional<Organisation> organisation,
    Instant arrivedAt,
    Duration connectionWait,
    boolean isNested,
    Instant deadline) {

  RoutedRequest {
    requireNonNull(identifier, "identifier is null");
    requireNonNull(configuration, "configuration is null");
    requireNonNull(route, "route is null");
    requireNonNull(contract, "contract is null");
    requireNonNull(service, "service is null");
    requireNonNull(organisation, "organisation is null");
    requireNonNull(arrivedAt, "arrivedAt is null");
    requireNonNull(connectionWait, "connectionWait is null");
    requireNonNull(deadline, "deadline is null");
  }

  // -- queries

  Optional<String> organisationName() {
    return organisation.map(Organisation::name);
  }

  /** Returns the rank in the queue of the upstream; smaller ranks run first. */
  int queueRank() {
    return Organisation.queueRank(organisation, contract);
  }

  // -- conversion

  /**
   * Returns the fields that describe this request in the call log.
   *
   * @param duration time from the arrival of the request to its end
   */
  Document.MappingBuilder toLogFields(Duration duration) {
    Document.MappingBuilder fields =
        Document.mapping()
            .with("milliseconds", duration.toMillis())
            .with("route", route.name())
            .with("service", service.name())
            .with("configuration", configuration.version())
            .with("rank", queueRank())
            .with("objectiveMilliseconds", contract.latencyObjective().toMillis())
            .with("deadlineMilliseconds", Duration.between(arrivedAt, deadline).toMillis());
    if (!connectionWait.isZero()) {
      fields.with("connectionWaitMilliseconds", connectionWait.toMillis());
    }
    if (isNested) {
      fields.with("nested", true);
    }
    organisationName().ifPresent(name -> fields.with("organisation", name));
    return fields;
  }
}
