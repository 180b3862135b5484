package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.routing.ServiceExplanation;
import org.parsleycart.decision.routing.VersionSelector;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Route;
import org.parsleycart.model.document.Document;

/**
 * The answer to a {@link RoutingQuestion}, with one table each of services, versions, upstreams.
 */
record ExplanationDocument(
    RoutingQuestion question, Route route, Contract contract, List<ServiceExplanation> services) {
  private static final double HUNDREDTHS = 100.0;

  ExplanationDocument {
    requireNonNull(question, "question is null");
    requireNonNull(route, "route is null");
    requireNonNull(contract, "contract is null");
    services = List.copyOf(services);
  }

  /**
   * A refusal that some of the calls would get.
   *
   * @param by {@code entry}, or the identifier of the upstream whose admission refuses
   * @param perMille how many of a thousand calls to the service would be refused
   */
  record Refusal(String service, String by, RefusalReason reason, int perMille) {
    Refusal {
      requireNonNull(service, "service is null");
      requireNonNull(by, "by is null");
      requireNonNull(reason, "reason is null");
    }

    private Document.Mapping toDocument() {
      return Document.mapping()
          .with("service", service)
          .with("by", by)
          .with("reason", reason.toString())
          .with("status", reason.statusCode())
          .with("perMille", perMille)
          .build();
    }
  }

  // -- conversion

  /**
   * Converts the answer.
   *
   * @param zone the zone in which the request arrives
   * @param deadline how long the request may take, by the caller and the contract
   */
  Document.Mapping toDocument(
      String daemon, String zone, long version, Duration deadline, List<Refusal> refusals) {
    Document.MappingBuilder builder =
        Document.mapping()
            .with("daemon", daemon)
            .with("zone", zone)
            .with("configuration", version)
            .with("path", question.path())
            .with("method", question.method());
    question.host().ifPresent(host -> builder.with("host", host));
    question.organisation().ifPresent(name -> builder.with("organisation", name));
    return builder
        .with("route", route.name())
        .with("routeHost", route.host().orElse("any"))
        .with("routePathPrefix", route.pathPrefix())
        .with("contract", contract.name())
        .with("kind", contract.requestKind().toString())
        .with("rank", contract.queueRank())
        .with("objectiveMilliseconds", contract.latencyObjective().toMillis())
        .with("deadlineMilliseconds", deadline.toMillis())
        .with("services", sequence(services.stream().map(ExplanationDocument::service).toList()))
        .with("versions", items(ServiceExplanation::versions, ExplanationDocument::versions))
        .with("upstreams", items(ServiceExplanation::upstreams, ExplanationDocument::upstream))
        .with("refusals", sequence(refusals.stream().map(Refusal::toDocument).toList()))
        .build();
  }

  private <T> Document.Sequence items(
      Function<ServiceExplanation, List<T>> items,
      BiFunction<ServiceExplanation, T, Document.Mapping> format) {
    return sequence(
        services.stream()
            .flatMap(
                service -> items.apply(service).stream().map(item -> format.apply(service, item)))
            .toList());
  }

  private static Document.Sequence sequence(List<Document.Mapping> items) {
    return Document.sequence(items);
  }

  private static Document.Mapping service(ServiceExplanation service) {
    Document.MappingBuilder builder =
        Document.mapping().with("service", service.service()).with("weight", service.weight());
    service
        .rollout()
        .ifPresent(
            rollout ->
                builder
                    .with("rolloutTo", rollout.version())
                    .with("phase", rollout.phase().toString())
                    .with("sharePerMille", rollout.sharePerMille()));
    return builder.build();
  }

  private static Document.Mapping versions(
      ServiceExplanation service, ServiceExplanation.Versions versions) {
    return Document.mapping()
        .with("service", service.service())
        .with("versions", text(versions.choice().versions()))
        .with(
            "fallback", versions.choice().fallback().map(ExplanationDocument::text).orElse("none"))
        .with("perMille", versions.perMille())
        .build();
  }

  private static String text(VersionSelector selector) {
    if (selector instanceof VersionSelector.Only only) {
      return only.version();
    }
    VersionSelector.AllExcept others = (VersionSelector.AllExcept) selector;
    return others.versions().isEmpty()
        ? "all"
        : "all except " + String.join(", ", others.versions().stream().sorted().toList());
  }

  private static Document.Mapping upstream(
      ServiceExplanation service, ServiceExplanation.Upstream upstream) {
    Document.MappingBuilder builder =
        Document.mapping()
            .with("upstream", upstream.candidate().identifier())
            .with("service", service.service())
            .with("version", upstream.candidate().upstream().version())
            .with("zone", upstream.candidate().zone())
            .with("daemon", upstream.candidate().daemonIdentifier())
            .with("slots", upstream.candidate().upstream().slots())
            .with("outstandingCalls", upstream.outstandingCalls())
            .with("utilization", Math.round(upstream.utilization() * HUNDREDTHS) / HUNDREDTHS);
    upstream.reportAge().ifPresent(age -> builder.with("loadAgeMilliseconds", age.toMillis()));
    upstream
        .view()
        .ifPresent(
            view ->
                builder
                    .with("weight", Math.round(view.weight() * HUNDREDTHS) / HUNDREDTHS)
                    .with("expectedEndMilliseconds", view.estimate().expectedEnd().toMillis())
                    .with("inTime", view.estimate().isInTime()));
    builder.with("perMille", upstream.chosenPerMille());
    upstream.exclusion().ifPresent(reason -> builder.with("excluded", reason.toString()));
    return builder.build();
  }
}
