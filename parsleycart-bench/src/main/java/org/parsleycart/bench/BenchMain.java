package org.parsleycart.bench;

import org.parsleycart.link.LibraryLogging;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code parsleycart-bench}. */
@Command(
    name = "parsleycart-bench",
    description = "Measures single decisions, simulated fleets and running daemons.",
    mixinStandardHelpOptions = true,
    subcommands = {
      SpreadCommand.class,
      ZoneCommand.class,
      RolloutCommand.class,
      PathCommand.class,
      FleetCommand.class,
      DecisionsCommand.class,
      MemoryCommand.class,
      PlotCommand.class
    })
public final class BenchMain {
  private BenchMain() {}

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    LibraryLogging.limitToWarnings();
    System.exit(new CommandLine(new BenchMain()).execute(arguments));
  }
}
