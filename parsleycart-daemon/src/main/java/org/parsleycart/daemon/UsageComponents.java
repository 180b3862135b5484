package org.parsleycart.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.InstantSource;
import java.util.Optional;
import java.util.UUID;
import org.parsleycart.daemon.control.LocalUsage;
import org.parsleycart.daemon.control.UsageRows;
import org.parsleycart.daemon.control.UsageStatistics;
import org.parsleycart.daemon.control.UsageWorker;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.settings.DutySettings;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.usage.DutyHolder;
import org.parsleycart.decision.usage.LeaseState;
import org.parsleycart.decision.usage.UsageCounts;
import org.parsleycart.decision.usage.UsageReportPlan;
import org.parsleycart.decision.usage.UsageSchedule;
import org.parsleycart.decision.usage.UsageWindows;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.platform.UsageReporter;

/** Creates the components of the usage duty. */
final class UsageComponents {
  private UsageComponents() {}

  // -- construction

  /** Returns the counts of this daemon, which record nothing unless the settings ask for it. */
  static LocalUsage localUsage(DaemonSettings settings, InstantSource clock) {
    InstantSource wallClock = InstantSource.system();
    Optional<UsageCounts> counts =
        settings
            .usageDuty()
            .map(UsageComponents::schedule)
            .map(schedule -> new UsageCounts(schedule.windows(), schedule.maximumAge(), wallClock));
    return new LocalUsage(settings.identifier(), clock.millis(), counts, wallClock);
  }

  /** Returns the worker of the duty, empty unless the settings ask for the duty. */
  static Optional<UsageWorker> worker(
      DaemonSettings settings,
      ControlComponents control,
      LocalUsage localUsage,
      MeterRegistry registry,
      MeshState state) {
    return settings
        .usageDuty()
        .map(
            duty -> {
              SystemClocks clocks = new SystemClocks();
              UsageStatistics statistics = new UsageStatistics();
              DaemonMetrics.registerUsage(registry, statistics);
              return UsageWorker.create(
                  localUsage,
                  () -> Optional.of(control.gossip().view()).filter(view -> state.isServing()),
                  new UsageRows(control.table(), control.authority()::platformEra),
                  control.frameClient(),
                  new UsageReporter(
                      HttpClient.startResettingOnClose(1), duty.address(), duty.holder()),
                  holder(duty, clocks),
                  clocks,
                  statistics,
                  state.workers());
            });
  }

  private static DutyHolder holder(DutySettings duty, SystemClocks clocks) {
    UsageSchedule schedule = schedule(duty);
    long current = schedule.windows().at(InstantSource.system().instant());
    return new DutyHolder(
        LeaseState.initial(
            duty.holder(), UUID.randomUUID().toString(), duty.usageBounds().lease(), clocks.get()),
        UsageReportPlan.after(schedule, current - 1));
  }

  private static UsageSchedule schedule(DutySettings duty) {
    return UsageSchedule.of(
        new UsageWindows(duty.usageBounds().window()),
        duty.usageBounds().late(),
        duty.callsPerSecond());
  }
}
