package org.parsleycart.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.parsleycart.model.Configuration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates a configuration file without a daemon. */
@Command(
    name = "validate",
    description = "Validates a configuration file without contacting a daemon.",
    mixinStandardHelpOptions = true)
final class ValidateCommand implements Callable<Integer> {

  @Parameters(paramLabel = "FILE", description = "The YAML file.")
  private Path file;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    return InputFile.read(file)
        .flatMap(text -> InputFile.parseChange(file, text))
        .flatMap(
            change ->
                Configuration.empty()
                    .apply(change)
                    .mapLeft(
                        violations ->
                            new CommandError(
                                ExitCode.BAD_INPUT,
                                file + " violates " + violations.size() + " configuration rules",
                                violations.stream().map(Object::toString).toList())))
        .fold(this::report, this::printValid);
  }

  private int report(CommandError error) {
    CommandMain.printError(spec.commandLine(), error);
    return error.exitCode().code();
  }

  private int printValid(Configuration configuration) {
    long count = configuration.allResources().count();
    spec.commandLine().getOut().println(file + ": valid, " + count + " resources");
    return ExitCode.DONE.code();
  }
}
