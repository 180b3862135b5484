package org.parsleycart.command;

import java.time.Duration;
import java.util.List;
import org.parsleycart.link.LibraryLogging;
import org.parsleycart.model.document.Durations;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** The main class of the command {@code parsleycart} for operators. */
@Command(
    name = "parsleycart",
    description = "Creates configurations, rollouts and availability zone withdrawals.",
    mixinStandardHelpOptions = true,
    version = "parsleycart 0.1.0",
    subcommands = {
      ApplyCommand.class,
      ValidateCommand.class,
      GetCommand.class,
      StatusCommand.class,
      HistoryCommand.class,
      ZoneCommands.Withdraw.class,
      ZoneCommands.Return.class,
      RolloutCommands.class,
      WatchCommand.class,
      ExplainCommand.class
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:success",
      "1:refused by a daemon, or rolled back or aborted",
      "2:invalid input",
      "3:no daemon reachable, or the platform does not answer",
      "4:accepted, but not yet in force everywhere",
      "5:no route for the request asked about",
      "6:no daemon is ready to serve requests"
    })
public final class CommandMain {

  // -- start

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    LibraryLogging.limitToWarnings();
    System.exit(commandLine().execute(arguments));
  }

  /** Returns the command line with its subcommands and converters. */
  static CommandLine commandLine() {
    return new CommandLine(new CommandMain())
        .registerConverter(Duration.class, new DurationConverter())
        .setCaseInsensitiveEnumValuesAllowed(true);
  }

  /** Converts durations in the format of the settings file. */
  private static final class DurationConverter implements ITypeConverter<Duration> {
    @Override
    public Duration convert(String text) {
      return Durations.parse(text)
          .orElseThrow(
              () ->
                  new TypeConversionException(
                      "'"
                          + text
                          + "' is not a duration; expected a form such as 250ms, 7s or 10m"));
    }
  }

  static void printError(CommandLine commandLine, CommandError error) {
    commandLine.getErr().println("parsleycart: " + error.message());
    List<String> details = error.details();
    details.forEach(detail -> commandLine.getErr().println("  " + detail));
  }
}
