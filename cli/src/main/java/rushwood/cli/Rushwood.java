package rushwood.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IExecutionExceptionHandler;

/**
 * bin/rushwood: 0 done, 1 failed, 2 the line or a file is wrong; a fault is one line on standard
 * error.
 */
@Command(
    name = "rushwood",
    mixinStandardHelpOptions = true,
    version = "rushwood 0.1.0",
    description = "Routes accesses to a replicated store, and measures how well.",
    subcommands = {
      Rushwood.ServeCommand.class,
      Rushwood.AdapterCommand.class,
      CheckCommand.class,
      TestbedCommand.class,
      CommandLine.HelpCommand.class
    })
public final class Rushwood implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  public static void main(String[] args) {
    int code = run(args);
    if (code != RUNNING) {
      System.exit(code);
    }
  }

  /** A command that goes on after it returned: its exit is its own. */
  static final int RUNNING = -1;

  static int run(String... args) {
    IExecutionExceptionHandler oneLine =
        (exception, line, parsed) -> {
          line.getErr().println("rushwood: " + exception.getMessage());
          return exception instanceof InvalidInputException ? 2 : 1;
        };
    return new CommandLine(new Rushwood()).setExecutionExceptionHandler(oneLine).execute(args);
  }

  /** A file or value that cannot be used: one line that names it and the reason. */
  static final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidInputException(String message) {
      super(message);
    }
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Runs one router, told by NODE_CONFIG; bin/rushwood starts it with the operator's flags.")
  static final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      rushwood.Main.main(new String[] {"serve"});
      return RUNNING;
    }
  }

  @Command(
      name = "adapter",
      mixinStandardHelpOptions = true,
      description = "The decisions on the simulator's wire, on standard input and output.")
  static final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      rushwood.Main.main(new String[] {"adapter"});
      return RUNNING;
    }
  }
}
