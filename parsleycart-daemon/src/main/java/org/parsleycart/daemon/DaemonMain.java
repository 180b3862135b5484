package org.parsleycart.daemon;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.link.LibraryLogs;
import org.parsleycart.model.document.Problem;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code parsleycartd}: runs one daemon until it is asked to stop. */
@Command(
    name = "parsleycartd",
    description = "Runs the parsleycart daemon beside an upstream VM.",
    mixinStandardHelpOptions = true,
    version = "parsleycartd 0.1.0",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:stopped as asked, or settings without fault",
      "1:could not start",
      "2:bad arguments or settings"
    })
public final class DaemonMain implements Callable<Integer> {
  private static final int DONE = 0;
  private static final int NOT_STARTED = 1;
  private static final int BAD_INPUT = 2;

  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description = "The YAML file of settings; docs/OPERATIONS.md lists them.")
  private Path settingsFile;

  @Option(names = "--check", description = "Check the settings and exit.")
  private boolean checkOnly;

  @Option(
      names = "--rehearse",
      hidden = true,
      description = "Live shortly on loopback, for the class archive that the build makes.")
  private boolean rehearse;

  @Spec private CommandSpec spec;

  // -- start

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    LibraryLogs.onlyWarnings();
    System.exit(new CommandLine(new DaemonMain()).execute(arguments));
  }

  @Override
  public Integer call() {
    PrintWriter errors = spec.commandLine().getErr();
    if (rehearse) {
      return rehearse(errors);
    }
    if (settingsFile == null) {
      errors.println("missing required option '--settings=FILE'");
      spec.commandLine().usage(errors);
      return BAD_INPUT;
    }
    String text;
    try {
      text = Files.readString(settingsFile);
    } catch (IOException e) {
      errors.println(settingsFile + ": cannot be read: " + e.getMessage());
      return BAD_INPUT;
    }
    Either<List<Problem>, DaemonSettings> settings =
        DaemonSettings.parse(settingsFile.toString(), text);
    if (settings.isLeft()) {
      settings.getLeft().forEach(errors::println);
      return BAD_INPUT;
    }
    return checkOnly ? DONE : run(settings.get(), text, errors);
  }

  private static int rehearse(PrintWriter errors) {
    try {
      Rehearsal.run();
      return DONE;
    } catch (IOException e) {
      errors.println("the rehearsal failed: " + e.getMessage());
      return NOT_STARTED;
    }
  }

  private static void writeLastLines() {
    try {
      ProviderRegistry.getLoggingProvider().shutdown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int run(DaemonSettings settings, String text, PrintWriter errors) {
    Daemon daemon;
    try {
      daemon = Daemon.start(settings);
    } catch (IOException | RuntimeException e) {
      errors.println("could not start: " + e.getMessage());
      Logger.debug(e);
      return NOT_STARTED;
    }
    SettingsWatch watch = new SettingsWatch(settingsFile, text, daemon::reload);
    HangupSignal.onSignal(watch::requestReload);
    watch.start();
    CountDownLatch closed = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.close();
                  writeLastLines();
                  closed.countDown();
                },
                "stopping"));
    try {
      closed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return DONE;
  }
}
