package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.control.GossipWorker;
import org.parsleycart.daemon.control.MembershipView;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.routing.Balancing;
import org.parsleycart.decision.routing.RoutingExplanation;
import org.parsleycart.decision.routing.RoutingState;
import org.parsleycart.decision.routing.ServiceExplanation;
import org.parsleycart.decision.routing.UpstreamDirectory;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Organisation;
import org.parsleycart.model.Route;

/**
 * Answers where a request would go now, and why. Nothing is sent to an upstream, nothing is counted
 * and no state changes.
 */
public final class ExplainActions {
  private static final int ALL_REQUESTS = 1000; // in thousandths

  private final MeshState state;
  private final GossipWorker gossip;
  private final LocalUpstreams upstreams;
  private final UpstreamLoadTable loads;
  private final Balancing balancing;
  private final InstantSource clock;

  // -- construction

  /** Creates the action with the state by which calls are routed. */
  public ExplainActions(
      MeshState state,
      GossipWorker gossip,
      LocalUpstreams upstreams,
      UpstreamLoadTable loads,
      Balancing balancing,
      InstantSource clock) {
    this.state = requireNonNull(state, "state is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.loads = requireNonNull(loads, "loads is null");
    this.balancing = requireNonNull(balancing, "balancing is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- actions

  OperatorResponse explain(OperatorRequest request) {
    return RoutingQuestion.from(request)
        .fold(
            faults -> OperatorResponse.error(StatusCodes.BAD_REQUEST, "malformed question", faults),
            this::answer);
  }

  private OperatorResponse answer(RoutingQuestion question) {
    if (!state.isServing()) {
      return OperatorResponse.refused(
          RefusalReason.NOT_READY, "the daemon has no confirmed configuration yet");
    }
    if (state.isRefusingNewCalls()) {
      return OperatorResponse.refused(RefusalReason.STOPPING, "the daemon is about to stop");
    }
    Configuration configuration = state.configuration();
    String zone = question.zone().orElse(state.zone());
    if (!isKnownZone(configuration, zone)) {
      return OperatorResponse.error(
          StatusCodes.BAD_REQUEST, "malformed question", List.of("unknown zone \"" + zone + "\""));
    }
    Optional<String> unknownOrganisation =
        question.organisation().filter(name -> configuration.organisation(name).isEmpty());
    if (unknownOrganisation.isPresent()) {
      return OperatorResponse.error(
          StatusCodes.BAD_REQUEST,
          "malformed question",
          List.of("unknown organisation \"" + unknownOrganisation.get() + "\""));
    }
    return configuration
        .routeFor(question.host(), question.path(), state.labels())
        .flatMap(
            route ->
                configuration
                    .contract(route.contract())
                    .map(contract -> answer(question, configuration, zone, route, contract)))
        .orElseGet(() -> noRoute(question));
  }

  private static OperatorResponse noRoute(RoutingQuestion question) {
    return OperatorResponse.refused(
        RefusalReason.NO_ROUTE,
        "no route for host " + question.host().orElse("(none)") + " and path " + question.path());
  }

  private boolean isKnownZone(Configuration configuration, String zone) {
    return zone.equals(state.zone())
        || configuration.zones().stream().anyMatch(known -> known.name().equals(zone));
  }

  private OperatorResponse answer(
      RoutingQuestion question,
      Configuration configuration,
      String zone,
      Route route,
      Contract contract) {
    Instant now = clock.instant();
    MembershipView view = gossip.view();
    Duration deadline =
        question
            .deadline()
            .filter(stated -> stated.compareTo(contract.deadline()) < 0)
            .orElse(contract.deadline());
    Instant endsBy = now.plus(deadline);
    RoutingState routing =
        new RoutingState(
            configuration,
            state.facts(),
            view.records(),
            directory(configuration, zone),
            loads,
            balancing);
    List<ServiceExplanation> services =
        new RoutingExplanation(routing, question.tried(), now, endsBy).explain(route);
    AdmissionRequest<String> request =
        new AdmissionRequest<>(
            question.path(),
            Organisation.queueRank(
                question.organisation().flatMap(configuration::organisation), contract),
            route.name(),
            configuration.softDeadline(contract, endsBy),
            endsBy,
            question.organisation());
    return OperatorResponse.ok(
        new ExplanationDocument(question, route, contract, services)
            .toDocument(
                view.self().identifier(),
                zone,
                configuration.version(),
                deadline,
                Stream.concat(
                        authenticationRefusals(question, configuration, route, services),
                        refusals(services, request))
                    .toList()));
  }

  /** Returns the refusals of a request without a key, to each service it would go to. */
  private static Stream<ExplanationDocument.Refusal> authenticationRefusals(
      RoutingQuestion question,
      Configuration configuration,
      Route route,
      List<ServiceExplanation> services) {
    boolean isKeyMissing =
        configuration.hasOrganisations() && !route.isPublic() && question.organisation().isEmpty();
    return services.stream()
        .filter(unused -> isKeyMissing)
        .map(
            service ->
                new ExplanationDocument.Refusal(
                    service.service(), "entry", RefusalReason.UNAUTHENTICATED, ALL_REQUESTS));
  }

  /** Returns the directory by which calls are routed, as seen from a zone. */
  private UpstreamDirectory directory(Configuration configuration, String zone) {
    return zone.equals(state.zone())
        ? state.directory()
        : UpstreamDirectory.of(
            gossip.view().records().stream(),
            zone,
            other -> state.facts().isWithdrawn(configuration, other));
  }

  private Stream<ExplanationDocument.Refusal> refusals(
      List<ServiceExplanation> services, AdmissionRequest<String> request) {
    Stream<ExplanationDocument.Refusal> withoutUpstream =
        services.stream()
            .filter(service -> service.withoutUpstreamPerMille() > 0)
            .map(
                service ->
                    new ExplanationDocument.Refusal(
                        service.service(),
                        "entry",
                        RefusalReason.NO_UPSTREAM,
                        service.withoutUpstreamPerMille()));
    Stream<ExplanationDocument.Refusal> byAdmission =
        services.stream()
            .flatMap(
                service ->
                    service.upstreams().stream()
                        .filter(upstream -> upstream.chosenPerMille() > 0)
                        .flatMap(
                            upstream -> admissionRefusal(service, upstream, request).stream()));
    return Stream.concat(withoutUpstream, byAdmission);
  }

  /** Returns the refusal by an upstream beside this daemon; other daemons decide on theirs. */
  private Optional<ExplanationDocument.Refusal> admissionRefusal(
      ServiceExplanation service,
      ServiceExplanation.Upstream upstream,
      AdmissionRequest<String> request) {
    if (!upstream.candidate().daemonIdentifier().equals(gossip.view().self().identifier())) {
      return Optional.empty();
    }
    String identifier = upstream.candidate().identifier();
    return stateRefusal()
        .or(() -> upstreams.expectedRefusal(identifier, request))
        .map(
            reason ->
                new ExplanationDocument.Refusal(
                    service.service(), identifier, reason, upstream.chosenPerMille()));
  }

  private Optional<RefusalReason> stateRefusal() {
    if (state.isOwnZoneWithdrawn()) {
      return Optional.of(RefusalReason.ZONE_WITHDRAWN);
    }
    return state.isIsolated() ? Optional.of(RefusalReason.ISOLATED) : Optional.empty();
  }
}
