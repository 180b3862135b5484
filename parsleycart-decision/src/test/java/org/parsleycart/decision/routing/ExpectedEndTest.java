package org.parsleycart.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.parsleycart.decision.routing.CandidateView.Exclusion.EJECTED;
import static org.parsleycart.decision.routing.CandidateView.Exclusion.LEAVING;
import static org.parsleycart.decision.routing.CandidateView.Exclusion.TRIED;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.admission.CallPace;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.WarmUpState;
import org.parsleycart.decision.membership.AnnouncedUpstream;

class ExpectedEndTest {
  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final int SLOTS = 8;
  private static final int DRAWS = 400;
  private static final long USUAL_MILLISECONDS = 100;

  private final UpstreamLoadTable loads = new UpstreamLoadTable();
  private final UpstreamSelection selection = new UpstreamSelection(loads, Balancing.EXPECTED_END);
  private final Random random = new Random(31);

  private static Candidate candidate(String identifier, String zone) {
    return new Candidate(
        new AnnouncedUpstream(identifier, "ledger", "v1", SLOTS, false),
        identifier + "-daemon",
        zone,
        "10.0.0.1:7402");
  }

  private static CandidatePool pool(int localCount, int otherCount) {
    return new CandidatePool(
        IntStream.range(0, localCount).mapToObj(index -> candidate("l" + index, "own")).toList(),
        IntStream.range(0, otherCount).mapToObj(index -> candidate("o" + index, "far")).toList());
  }

  private void report(Candidate candidate, int outstandingCalls, Optional<CallPace> pace) {
    report(candidate, outstandingCalls, pace, NOW);
  }

  private void report(
      Candidate candidate, int outstandingCalls, Optional<CallPace> pace, Instant at) {
    loads
        .of(candidate)
        .recordReport(new LoadReport(outstandingCalls, SLOTS, WarmUpState.WARM, pace), at);
  }

  private static Optional<CallPace> pace(long milliseconds, int percent) {
    return Optional.of(new CallPace(Duration.ofMillis(milliseconds), percent));
  }

  private List<Candidate> draws(CandidatePool pool, Instant at) {
    return IntStream.range(0, DRAWS)
        .mapToObj(draw -> selection.choose(pool, Set.of(), at, random).orElseThrow())
        .toList();
  }

  private long draws(CandidatePool pool, Instant at, Candidate candidate) {
    return draws(pool, at).stream().filter(candidate::equals).count();
  }

  private CallEstimate estimate(CandidatePool pool, Candidate candidate, Instant at) {
    return selection.explain(pool, Set.of(), at, Instant.MAX).stream()
        .filter(view -> view.candidate().equals(candidate))
        .findFirst()
        .orElseThrow()
        .estimate();
  }

  /** Guards against calls that queue beside an idle upstream after the daemon has heard of it. */
  @Test
  void shouldChooseTheUpstreamThatLastReportedIdleSlotsAmongHundreds() {
    CandidatePool pool = pool(300, 300);
    report(pool.localZone().get(250), 1, pace(USUAL_MILLISECONDS, 100));

    assertThat(draws(pool, NOW, pool.localZone().get(250))).isEqualTo(DRAWS);
  }

  /** Guards against believing a report that says nothing about the present any more. */
  @Test
  void shouldTreatAReportAsUnknownWhenItIsOlderThanAFewCallTimes() {
    CandidatePool pool = pool(2, 0);
    Candidate reported = pool.localZone().get(0);
    report(reported, 0, pace(USUAL_MILLISECONDS, 100));
    double whenNew = estimate(pool, reported, NOW).outstandingCalls();
    double later = estimate(pool, reported, NOW.plusMillis(USUAL_MILLISECONDS)).outstandingCalls();
    Instant old = NOW.plusMillis(5 * USUAL_MILLISECONDS);

    assertThat(whenNew).isLessThan(later);
    assertThat(estimate(pool, reported, old).outstandingCalls())
        .isEqualTo(estimate(pool, pool.localZone().get(1), old).outstandingCalls());
  }

  /** Guards against an upstream that gets no call because it has never reported. */
  @Test
  void shouldChooseANewUpstreamBeforeItsFirstReportWhenTheOthersAreFull() {
    CandidatePool pool = pool(4, 0);
    pool.localZone().subList(0, 3).forEach(full -> report(full, 16, pace(100, 100)));

    assertThat(draws(pool, NOW, pool.localZone().get(3))).isEqualTo(DRAWS);
  }

  /** Guards against a burst that goes to a single upstream before any has reported. */
  @Test
  void shouldSpreadABurstWhenTheChooserHasJustStarted() {
    CandidatePool pool = pool(4, 0);
    IntStream.range(0, 40)
        .forEach(
            call ->
                loads
                    .of(selection.choose(pool, Set.of(), NOW, random).orElseThrow())
                    .recordStart());

    assertThat(pool.localZone())
        .allSatisfy(candidate -> assertThat(loads.of(candidate).inFlight()).isBetween(8, 12));
  }

  /** Guards against calls that pile up at an upstream which answers nothing. */
  @Test
  void shouldAvoidAFrozenUpstreamByItsOwnCallsInFlight() {
    CandidatePool pool = pool(4, 0);
    Candidate frozen = pool.localZone().get(0);
    report(frozen, 0, pace(USUAL_MILLISECONDS, 100), NOW.minusSeconds(5));
    IntStream.range(0, SLOTS).forEach(call -> loads.of(frozen).recordStart());

    assertThat(draws(pool, NOW, frozen)).isZero();
  }

  /** Guards against subtracting calls that the last report has counted already. */
  @Test
  void shouldCountOwnCallsOnceWhenTheReportShowsThem() {
    CandidatePool pool = pool(1, 0);
    Candidate only = pool.localZone().get(0);
    IntStream.range(0, 4).forEach(call -> loads.of(only).recordStart());
    double unreported = estimate(pool, only, NOW).outstandingCalls();
    report(only, 4, pace(USUAL_MILLISECONDS, 100));

    assertThat(unreported).isGreaterThan(estimate(pool, only, NOW).outstandingCalls());
    assertThat(estimate(pool, only, NOW).outstandingCalls()).isBetween(4.0, 4.5);
  }

  /** Guards against a server that draws all calls by false figures. */
  @Test
  void shouldNotGiveAllCallsToAnUpstreamThatClaimsToBeFast() {
    CandidatePool pool = pool(4, 0);
    List<Candidate> others = new ArrayList<>(pool.localZone());
    Candidate liar = others.remove(0);
    others.forEach(candidate -> report(candidate, 2, pace(USUAL_MILLISECONDS, 100)));
    report(liar, 0, pace(0, 0));
    IntStream.range(0, 32)
        .forEach(
            call ->
                loads
                    .of(selection.choose(pool, Set.of(), NOW, random).orElseThrow())
                    .recordStart());

    assertThat(loads.of(liar).inFlight()).isBetween(1, 16);
  }

  /** Guards against an upstream without a pace, as daemons of earlier builds report it. */
  @Test
  void shouldCompareUpstreamsOfEarlierDaemonsByTheUsualTimeOfTheService() {
    CandidatePool pool = pool(2, 0);
    report(pool.localZone().get(0), 8, Optional.empty());
    report(pool.localZone().get(1), 2, pace(USUAL_MILLISECONDS, 100));

    assertThat(draws(pool, NOW, pool.localZone().get(1))).isEqualTo(DRAWS);
    assertThat(estimate(pool, pool.localZone().get(0), NOW).expectedEnd())
        .isGreaterThan(Duration.ofMillis(USUAL_MILLISECONDS));
  }

  @Test
  void shouldChooseTheUpstreamWhereTheCallEndsBeforeItsDeadline() {
    CandidatePool pool = pool(2, 0);
    Candidate slow = pool.localZone().get(0);
    Candidate fast = pool.localZone().get(1);
    report(slow, 0, pace(200, 100));
    report(fast, 10, pace(50, 100));
    Instant deadline = NOW.plusMillis(120);

    assertThat(draws(pool, NOW, slow)).isEqualTo(DRAWS);
    assertThat(selection.choose(pool, Set.of(), NOW, deadline, random)).contains(fast);
  }

  /** Guards against calls that queue in a full zone while another one has idle slots. */
  @Test
  void shouldSpillOverBeforeCallsWaitAndSpreadOverTheOtherZone() {
    CandidatePool pool = pool(2, 6);
    pool.localZone().forEach(full -> report(full, SLOTS, pace(USUAL_MILLISECONDS, 100)));

    List<Candidate> chosen = draws(pool, NOW);

    assertThat(chosen).allMatch(candidate -> candidate.zone().equals("far"));
    assertThat(chosen.stream().distinct().count()).isEqualTo(6);
  }

  /** Guards against priced bytes between zones without a gain. */
  @Test
  void shouldStayInTheZoneWhenBothHaveIdleSlots() {
    CandidatePool pool = pool(2, 6);
    pool.all().forEach(idle -> report(idle, 2, pace(USUAL_MILLISECONDS, 100)));

    assertThat(draws(pool, NOW)).allMatch(candidate -> candidate.zone().equals("own"));
  }

  @Test
  void shouldExplainExclusionsWithoutAChange() {
    CandidatePool pool = pool(6, 1);
    loads.of(pool.localZone().get(0)).recordLeaving(NOW);
    loads.of(pool.localZone().get(1)).recordRefusal(RefusalReason.DRAINING, NOW);
    List<CandidateView> views = selection.explain(pool, Set.of("l2"), NOW, NOW.plusSeconds(1));

    assertThat(views).hasSize(7);
    assertThat(views.stream().map(CandidateView::exclusion).limit(4))
        .containsExactly(
            Optional.of(LEAVING), Optional.of(EJECTED), Optional.of(TRIED), Optional.empty());
    assertThat(views.get(6).weight()).isGreaterThan(views.get(5).weight());
    assertThat(loads.find(pool.localZone().get(3))).isEmpty();
  }
}
