package rushwood.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses a scenario into commands. Empty lines and lines that start with # are skipped. The lines
 * between {@code repeat COUNT STEP VARIABLE} and {@code end} are repeated COUNT times: with each
 * repetition the time of {@code at} commands grows by STEP milliseconds, and $VARIABLE is replaced
 * by the index of the repetition, from 0.
 */
final class ScenarioScript {
  /** One command: its words, and its file and line. */
  record Command(List<String> words, String source) {
    /** Returns the first word, which determines the kind of command. */
    String name() {
      return words.get(0);
    }

    /** Returns the word at the given index; the name has index 0. */
    String word(int index) {
      return words.get(index);
    }

    /**
     * Returns the word after the given key, or the default value if the command does not have the
     * key.
     */
    String operand(String key, String defaultValue) {
      int index = words.subList(1, words.size()).indexOf(key);
      return index < 0 || index + 2 >= words.size() ? defaultValue : words.get(index + 2);
    }

    private Command substitute(String variable, int number) {
      String value = Integer.toString(number);
      return new Command(
          words.stream().map(word -> word.replace("$" + variable, value)).toList(), source);
    }

    private Command delayedBy(double millis) {
      return new Command(
          List.of("at", Double.toString(Double.parseDouble(words.get(1)) + millis)), source);
    }

    @Override
    public String toString() {
      return String.join(" ", words);
    }
  }

  private ScenarioScript() {}

  static List<Command> read(Path file) throws IOException {
    List<Command> lines = new ArrayList<>();
    int number = 0;
    for (String line : Files.readAllLines(file)) {
      number++;
      if (!line.isBlank() && !line.startsWith("#")) {
        List<String> words = List.of(line.trim().split("\\s+"));
        lines.add(new Command(words, file.getFileName() + ":" + number));
      }
    }
    return expand(lines);
  }

  private static List<Command> expand(List<Command> lines) {
    List<Command> commands = new ArrayList<>();
    int index = 0;
    while (index < lines.size()) {
      Command line = lines.get(index);
      index++;
      if (line.name().equals("repeat")) {
        int end = endOfBlock(lines, index);
        commands.addAll(repeat(line, expand(lines.subList(index, end))));
        index = end + 1;
      } else {
        commands.add(line);
      }
    }
    return commands;
  }

  private static int endOfBlock(List<Command> lines, int start) {
    int depth = 1;
    for (int i = start; i < lines.size(); i++) {
      String word = lines.get(i).name();
      if (word.equals("repeat")) {
        depth++;
      } else if (word.equals("end") && --depth == 0) {
        return i;
      }
    }
    throw new IllegalArgumentException(lines.get(start - 1).source() + ": repeat without end");
  }

  private static List<Command> repeat(Command repeat, List<Command> block) {
    int count = Integer.parseInt(repeat.word(1));
    double step = Double.parseDouble(repeat.word(2));
    List<Command> commands = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      for (Command command : block) {
        Command shifted = command.name().equals("at") ? command.delayedBy(i * step) : command;
        commands.add(shifted.substitute(repeat.word(3), i));
      }
    }
    return commands;
  }
}
