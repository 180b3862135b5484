package org.parsleycart.daemon;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.parsleycart.daemon.control.ControlRequestHandler;
import org.parsleycart.daemon.control.GossipWorker;
import org.parsleycart.daemon.control.InForceSurvey;
import org.parsleycart.daemon.control.LocalEvidence;
import org.parsleycart.daemon.control.LocalUsage;
import org.parsleycart.daemon.control.PeerDiscovery;
import org.parsleycart.daemon.control.PeerSyncWorker;
import org.parsleycart.daemon.control.PlatformFeedWorker;
import org.parsleycart.daemon.control.PlatformWorker;
import org.parsleycart.daemon.control.UrgentFactPersister;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.membership.GossipProtocol;
import org.parsleycart.decision.membership.GossipSettings;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.membership.MembershipTable;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PollSchedule;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.PullProgress;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.ControlTrafficCounters;
import org.parsleycart.link.DatagramLink;
import org.parsleycart.link.EnvelopeCodec;
import org.parsleycart.link.FrameClient;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.TransactionalTable;

/**
 * The components of a daemon that exchange control messages with other daemons and with the
 * platform.
 *
 * @param envelopeCodec signs and verifies messages
 * @param counters counts control messages and their bytes
 * @param frameClient sends requests to other daemons
 * @param clock the local clock
 * @param freshness the age of the confirmation of the configuration
 * @param gossip runs the gossip protocol
 * @param peerSync pulls versions and member records from peers
 * @param table the table of the platform
 * @param authority reads and accepts versions of the configuration
 * @param platformClock the clock shared by all daemons, or the local clock if the platform provides
 *     none
 * @param platformWorker polls the platform
 * @param feedWorker reads the feed of the platform
 * @param survey counts the daemons at which a version is in force
 * @param requestHandler handles the requests of other daemons
 */
record ControlComponents(
    EnvelopeCodec envelopeCodec,
    ControlTrafficCounters counters,
    FrameClient frameClient,
    InstantSource clock,
    Freshness freshness,
    GossipWorker gossip,
    PeerSyncWorker peerSync,
    TransactionalTable table,
    ConfigurationAuthority authority,
    InstantSource platformClock,
    PlatformWorker platformWorker,
    PlatformFeedWorker feedWorker,
    InForceSurvey survey,
    ControlRequestHandler requestHandler) {

  // -- construction

  static ControlComponents create(
      DaemonSettings settings,
      PeerKeys peerKeys,
      MeshState state,
      UpstreamLoadTable loads,
      LocalEvidence localEvidence,
      LocalUsage localUsage,
      InstantSource clock)
      throws IOException {
    EnvelopeCodec envelopeCodec = new EnvelopeCodec(peerKeys);
    ControlTrafficCounters counters = new ControlTrafficCounters();
    FrameClient frameClient = new FrameClient(envelopeCodec, counters);
    PullProgress progress = new PullProgress();
    PeerSyncWorker peerSync =
        new PeerSyncWorker(frameClient, state.log(), progress, clock, state.workers());
    DatagramLink datagrams =
        DatagramLink.open(settings.addresses().control(), envelopeCodec, counters);
    Freshness freshness = new Freshness();
    AtomicBoolean isWatcher = new AtomicBoolean();
    PullPlanner pullPlanner =
        new PullPlanner(
            settings.identifier(),
            new Random(),
            state.log()::readThrough,
            () -> isWatcher.get() ? settings.dialect().peerPullDelay() : Duration.ZERO);
    GossipWorker gossip =
        gossipWorker(settings, state, loads, freshness, clock, pullPlanner, peerSync, datagrams);
    PlatformComponents platform = PlatformComponents.create(settings, state.log(), clock);
    PlatformWorker platformWorker =
        new PlatformWorker(
            state,
            platform.authority(),
            gossip,
            peerSync,
            new PeerDiscovery(platform.services().table(), settings.seeds(), new Random()),
            new UrgentFactPersister(state, platform.authority()),
            new PollSchedule(clock.instant(), new Random()),
            freshness,
            clock,
            new Random());
    InForceSurvey survey = new InForceSurvey(state, frameClient);
    return new ControlComponents(
        envelopeCodec,
        counters,
        frameClient,
        clock,
        freshness,
        gossip,
        peerSync,
        platform.services().table(),
        platform.authority(),
        platform.clock(),
        platformWorker,
        new PlatformFeedWorker(
            platform.authority(),
            platformWorker,
            gossip::view,
            freshness,
            settings.revocation(),
            () -> progress.isStalled(pullPlanner.behindSince(), clock.instant()),
            isWatcher,
            clock,
            new Random(),
            state.workers()),
        survey,
        new ControlRequestHandler(state, gossip, survey, localEvidence, localUsage));
  }

  private static GossipWorker gossipWorker(
      DaemonSettings settings,
      MeshState state,
      UpstreamLoadTable loads,
      Freshness freshness,
      InstantSource clock,
      PullPlanner pullPlanner,
      PeerSyncWorker peerSync,
      DatagramLink datagrams) {
    Random random = new Random();
    GossipProtocol protocol =
        new GossipProtocol(
            new MembershipTable(selfRecord(settings, clock), clock.instant()),
            GossipSettings.standard(),
            clock,
            random,
            state.log()::head,
            freshness,
            state.facts(),
            pullPlanner,
            state.quarantine());
    return new GossipWorker(protocol, pullPlanner, datagrams, state, loads, clock, peerSync);
  }

  private static MemberRecord selfRecord(DaemonSettings settings, InstantSource clock) {
    return new MemberRecord(
        settings.identifier(),
        clock.millis(),
        0,
        MemberStatus.ALIVE,
        settings.zone(),
        Addresses.format(settings.callAddress()),
        settings.labels(),
        List.of());
  }

  // -- workers

  void start() {
    peerSync.start(gossip, platformWorker::recordPeerHead);
    gossip.start();
    platformWorker.start();
    feedWorker.start();
  }

  void stop() {
    feedWorker.stop();
    platformWorker.stop();
    gossip.stop();
    peerSync.stop();
  }
}
