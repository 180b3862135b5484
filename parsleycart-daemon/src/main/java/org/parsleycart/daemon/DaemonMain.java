package org.parsleycart.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.parsleycart.link.LibraryLogging;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code parsleycartd}: runs one daemon until the process is asked to stop. */
@Command(
    name = "parsleycartd",
    description = "Runs the parsleycart daemon beside an upstream VM.",
    mixinStandardHelpOptions = true,
    version = "parsleycartd 0.1.0",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:stopped on request, or the settings are valid",
      "1:could not start",
      "2:invalid arguments or settings"
    })
public final class DaemonMain implements Callable<Integer> {
  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description = "The YAML file with the settings, which docs/OPERATIONS.md describes.")
  private Path settingsFile;

  @Option(names = "--check", description = "Check the settings and exit.")
  private boolean checkOnly;

  @Option(
      names = "--rehearse",
      hidden = true,
      description = "Run briefly on loopback so that the build can create a class archive.")
  private boolean trainingRun;

  @Spec private CommandSpec spec;

  // -- start

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    LibraryLogging.limitToWarnings();
    System.exit(new CommandLine(new DaemonMain()).execute(arguments));
  }

  @Override
  public Integer call() {
    PrintWriter errors = spec.commandLine().getErr();
    if (trainingRun) {
      return runTraining(errors);
    }
    if (settingsFile == null) {
      errors.println("missing required option '--settings=FILE'");
      spec.commandLine().usage(errors);
      return DaemonProcess.EXIT_INVALID_INPUT;
    }
    return checkOnly
        ? DaemonProcess.check(settingsFile, errors)
        : DaemonProcess.run(settingsFile, errors);
  }

  private static int runTraining(PrintWriter errors) {
    try {
      ClassArchiveTrainingRun.run();
      return DaemonProcess.EXIT_OK;
    } catch (IOException e) {
      errors.println("the training run for the class archive failed: " + e.getMessage());
      return DaemonProcess.EXIT_NOT_STARTED;
    }
  }
}
