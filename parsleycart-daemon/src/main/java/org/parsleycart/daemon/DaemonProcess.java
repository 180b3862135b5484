package org.parsleycart.daemon;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.model.document.Problem;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/** Runs one daemon in this process, from reading its settings file to the exit code. */
final class DaemonProcess {
  static final int EXIT_OK = 0;
  static final int EXIT_NOT_STARTED = 1;
  static final int EXIT_INVALID_INPUT = 2;

  /**
   * The settings and the text they were parsed from, with which later changes of the file are
   * detected.
   */
  private record LoadedSettings(DaemonSettings settings, String text) {}

  private DaemonProcess() {}

  // -- operations

  /** Checks a settings file and prints its problems. Returns the exit code. */
  static int check(Path file, PrintWriter errors) {
    return load(file).fold(problems -> reportProblems(problems, errors), settings -> EXIT_OK);
  }

  /** Runs a daemon until the process is asked to stop. Returns the exit code. */
  static int run(Path file, PrintWriter errors) {
    return load(file)
        .fold(
            problems -> reportProblems(problems, errors), settings -> run(file, settings, errors));
  }

  // -- settings

  private static Either<List<String>, LoadedSettings> load(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      return Either.left(List.of(file + ": settings file cannot be read: " + e.getMessage()));
    }
    return DaemonSettings.parse(file.toString(), text)
        .map(settings -> new LoadedSettings(settings, text))
        .mapLeft(problems -> problems.stream().map(Problem::toString).toList());
  }

  private static int reportProblems(List<String> problems, PrintWriter errors) {
    problems.forEach(errors::println);
    errors.flush();
    return EXIT_INVALID_INPUT;
  }

  // -- process

  private static int run(Path file, LoadedSettings loaded, PrintWriter errors) {
    Thread.setDefaultUncaughtExceptionHandler(new UncaughtErrorHandler(Runtime.getRuntime()::halt));
    Daemon daemon;
    try {
      daemon = Daemon.start(loaded.settings());
    } catch (IOException | RuntimeException e) {
      errors.println("the daemon could not start: " + e.getMessage());
      errors.flush();
      Logger.debug(e);
      return EXIT_NOT_STARTED;
    }
    SettingsWatcher watcher = new SettingsWatcher(file, loaded.text(), daemon::reload);
    HangupSignal.onSignal(watcher::requestReload);
    watcher.start();
    CountDownLatch closed = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, closed), "stopping"));
    try {
      closed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return EXIT_OK;
  }

  private static void stop(Daemon daemon, CountDownLatch closed) {
    daemon.close();
    try {
      ProviderRegistry.getLoggingProvider().shutdown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    closed.countDown();
  }
}
