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

/** The life of a process that runs one daemon, from its settings file to its exit code. */
final class DaemonProcess {
  static final int DONE = 0;
  static final int NOT_STARTED = 1;
  static final int BAD_INPUT = 2;

  /**
   * Settings as read.
   *
   * @param settings what they say
   * @param text the text of the file
   */
  private record ReadSettings(DaemonSettings settings, String text) {}

  private DaemonProcess() {}

  // -- operations

  /** Checks a settings file; returns the exit code. */
  static int check(Path file, PrintWriter errors) {
    return read(file).fold(problems -> report(problems, errors), settings -> DONE);
  }

  /** Runs a daemon until it is asked to stop; returns the exit code. */
  static int run(Path file, PrintWriter errors) {
    return read(file)
        .fold(problems -> report(problems, errors), settings -> run(file, settings, errors));
  }

  // -- settings

  private static Either<List<String>, ReadSettings> read(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      return Either.left(List.of(file + ": cannot be read: " + e.getMessage()));
    }
    return DaemonSettings.parse(file.toString(), text)
        .map(settings -> new ReadSettings(settings, text))
        .mapLeft(problems -> problems.stream().map(Problem::toString).toList());
  }

  private static int report(List<String> problems, PrintWriter errors) {
    problems.forEach(errors::println);
    errors.flush();
    return BAD_INPUT;
  }

  // -- life

  private static int run(Path file, ReadSettings read, PrintWriter errors) {
    Daemon daemon;
    try {
      daemon = Daemon.start(read.settings());
    } catch (IOException | RuntimeException e) {
      errors.println("could not start: " + e.getMessage());
      errors.flush();
      Logger.debug(e);
      return NOT_STARTED;
    }
    SettingsWatcher watch = new SettingsWatcher(file, read.text(), daemon::reload);
    HangupSignal.onSignal(watch::requestReload);
    watch.start();
    CountDownLatch closed = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, closed), "stopping"));
    try {
      closed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return DONE;
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
